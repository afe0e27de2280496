#pragma once

#include "grouphistory.h"

#include <array>
#include <functional>
#include <random>
#include <set>

namespace cassiaroad::test {

/** How messages between members fare. */
struct Weather
{
    std::uint64_t seed = 1;
    int lossPercent = 0;
    int duplicatePercent = 0;
    int minDelay = 1; // milliseconds
    int maxDelay = 3; // milliseconds
    int maxSyncDelay = 3; // milliseconds
    std::array<int, 3> clockPermille { 1000, 1000, 1000 };
};

/** Three pure Replicas with fake folders and links at virtual time, checked after every step. */
class ReplicaGroup
{
public:
    static constexpr int size = 3;

    explicit ReplicaGroup(const Weather &weather, const ReplicaOptions &options = defaults());

    static ReplicaOptions defaults();

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
    /** Crashes the member and deletes its folder, if that is the only loss; else does nothing. */
    bool loseFolder(int slot);
    void copyFolder(int slot) { this->copies[slot] = this->hosts[slot].folder; }
    /** Crashes the member and puts the copy back, if the start check is to notice it. */
    bool restoreCopy(int slot);
    /** The same without conditions. */
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

    /** Member with the highest term among those that lead, -1 if none does. */
    int leader() const;
    bool isRepaired() const;
    bool isCommitted(const std::string &command) const { return this->history.has(command); }
    const Replica *replica(int slot) const { return this->hosts[slot].replica.get(); }
    const FakeFolder &folder(int slot) const { return *this->hosts[slot].folder; }
    TimePoint localTime(int slot) const;
    /** Messages handed to the links so far. */
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
        bool oldCopy = false; // the start check must notice it
        LogIndex applied = 0;
        std::uint64_t machine = 0;
    };
    struct Flight
    {
        std::int64_t at = 0;
        int to = 0;
        ReplicaMessage message;
    };

    bool chance(int percent);
    int between(int low, int high);
    void step(int slot, const ReplicaEvent &event);
    void perform(int slot, ReplicaActions &actions, const Configuration &before);
    bool install(int slot, const Snapshot &snapshot);
    void persist(int slot, const Persist &persist);
    void sync(int slot);
    void send(const ReplicaMessage &message);
    void deliver();
    void apply(int slot, const LogEntry &entry, const Configuration &before);
    void restartDropped(int slot);
    GroupFolders folders() const;
    void checkLeases() const;

    ReplicaOptions options;
    Weather weather;
    std::mt19937_64 random;
    std::int64_t now = 1000;
    std::array<Host, size> hosts;
    std::array<std::optional<FakeFolder>, size> copies;
    std::vector<Flight> flights;
    std::set<std::pair<int, int>> cutLinks;
    std::uint64_t nextIncarnation = 100;
    std::uint64_t sentCount = 0;

    GroupHistory history;
};

} // namespace cassiaroad::test
