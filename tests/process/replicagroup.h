#pragma once

#include "grouphistory.h"

#include <functional>
#include <random>
#include <set>

namespace cassiaroad::test {

/** Simulated faults and delays of the network, of syncs and of the clocks. */
struct NetworkConditions
{
    std::uint64_t seed = 1;
    int lossPercent = 0;
    int duplicatePercent = 0;
    int minDelay = 1; // milliseconds
    int maxDelay = 3; // milliseconds
    int maxSyncDelay = 3; // milliseconds
    std::vector<int> clockPermille; // speed of each member's clock; 1000 if it is not given
    int members = 3;
    std::set<int> distantSlots; // members in another region than the rest
    int distantDelay = 0; // milliseconds, added between the regions
};

/** Replicas with fake data folders and links in virtual time, checked after every step. */
class ReplicaGroup
{
public:
    static constexpr int size = 3; // unless the network conditions say otherwise

    explicit ReplicaGroup(const NetworkConditions &conditions, const ReplicaOptions &options);
    explicit ReplicaGroup(const NetworkConditions &conditions)
        : ReplicaGroup(conditions, defaults(conditions.members))
    { }

    static ReplicaOptions defaults(int members = size);

    /** Lets @p milliseconds pass. Throws std::logic_error when an invariant is broken. */
    void run(int milliseconds);
    /** Runs until @p condition holds, at most @p milliseconds; returns whether it holds. */
    bool runUntil(const std::function<bool()> &condition, int milliseconds = 5000);

    void crash(int slot);
    void start(int slot);
    void pause(int slot) { this->hosts[slot].paused = true; }
    void resume(int slot) { this->hosts[slot].paused = false; }
    void cut(int a, int b) { this->cutLinks.insert({ std::min(a, b), std::max(a, b) }); }
    void isolate(int slot);
    void heal() { this->cutLinks.clear(); }
    /** Crashes the member and deletes its folder, if isRepaired(); returns whether it did. */
    bool loseFolder(int slot) { return this->loseFolders({ slot }); }
    /** As loseFolder(), for several members at the same time. */
    bool loseFolders(const std::set<int> &slots);
    /**
     * Crashes the member and deletes its folder if then at most a minority of the slots is without
     * a voter of the committed configuration that has its folder; returns whether it did. Unlike
     * loseFolder() it does not wait until an earlier loss is repaired.
     */
    bool loseFolderOfMinority(int slot);
    void copyFolder(int slot) { this->copies[slot] = this->hosts[slot].folder; }
    /** Calls forceCopy() if the start check has to detect that copy; returns whether it did. */
    bool restoreCopy(int slot);
    /** Crashes the member and replaces its folder by the copy. */
    void forceCopy(int slot);
    void fillDisk(int slot) { this->hosts[slot].diskFull = true; }
    void freeDisk(int slot) { this->hosts[slot].diskFull = false; }
    std::optional<ProposalResult> propose(int slot, const std::vector<std::string> &commands);
    std::optional<ProposalResult> propose(int slot, const std::string &command)
    {
        return this->propose(slot, std::vector { command });
    }
    void saveSnapshot(int slot);
    void transfer(int slot);

    int slotCount() const { return this->conditions.members; }
    /** Slot of the leader with the highest term, -1 if there is none. */
    int leader() const;
    /** Whether all members are voters of the committed configuration with valid folders. */
    bool isRepaired() const;
    /** Whether the member is a voter of the committed configuration and has its folder. */
    bool isRepaired(int slot) const;
    bool isCommitted(const std::string &command) const { return this->history.has(command); }
    const Replica *replica(int slot) const { return this->hosts[slot].replica.get(); }
    const FakeFolder &folder(int slot) const { return *this->hosts[slot].folder; }
    TimePoint localTime(int slot) const;
    /** Messages that all members have sent so far. */
    std::uint64_t sent() const { return this->sentCount; }
    /** Syncs of the member so far. */
    std::uint64_t syncs(int slot) const { return this->hosts[slot].syncs; }

private:
    struct Host
    {
        std::optional<FakeFolder> folder;
        std::unique_ptr<Replica> replica;
        std::vector<Persist> unsynced;
        std::int64_t syncAt = 0;
        std::uint64_t syncs = 0;
        bool paused = false;
        bool diskFull = false;
        bool staleCopy = false; // the folder is a copy that the start check has to detect
        LogIndex applied = 0;
        std::uint64_t stateMachine = 0; // hash of the applied commands
    };
    struct MessageInTransit
    {
        std::int64_t at = 0; // time of its arrival
        int to = 0;
        ReplicaMessage message;
    };

    bool chance(int percent);
    int between(int low, int high);
    int delayBetween(int from, int to);
    void step(int slot, const ReplicaEvent &event);
    void perform(int slot, ReplicaActions &actions, const Configuration &before);
    bool install(int slot, const Snapshot &snapshot);
    void persist(int slot, const Persist &persist);
    /** Lets a write reach the disk, by a sync or at a crash before it. */
    void write(Host &host, const Persist &persist);
    /** Completes the pending writes of a member, or fails them if its disk is full. */
    void sync(int slot);
    void send(const ReplicaMessage &message);
    void deliver();
    void apply(int slot, const LogEntry &entry, const Configuration &before);
    /** Starts a dropped member again with a new folder. */
    void restartDropped(int slot);
    GroupFolders folders() const;
    void checkLeases() const;

    ReplicaOptions options;
    NetworkConditions conditions;
    std::mt19937_64 random;
    std::int64_t now = 1000;
    std::vector<Host> hosts;
    std::vector<std::optional<FakeFolder>> copies;
    std::vector<MessageInTransit> messagesInTransit;
    std::set<std::pair<int, int>> cutLinks;
    std::uint64_t nextIncarnation = 100;
    std::uint64_t sentCount = 0;

    GroupHistory history;
};

} // namespace cassiaroad::test
