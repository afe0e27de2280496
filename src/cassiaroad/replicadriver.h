#pragma once

#include "connection/replicalink.h"
#include "process/datafolder.h"
#include "process/metrics.h"
#include "process/settings.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cassiaroad {

/** What a ReplicaDriver tells its owner. Called in the loop, never from within propose(). */
struct ReplicaHandlers
{
    /** Replaces the state machine; without a snapshot it starts empty. */
    std::function<void(const std::optional<Snapshot> &)> restore;
    /** Applies a committed command; the number is that of propose(), 0 for others' commands. */
    std::function<void(const std::string &command, std::uint64_t proposal)> apply;
    /** The command will never be applied. */
    std::function<void(std::uint64_t proposal)> proposalFailed;
    /** Leadership or its lease may have changed. */
    std::function<void()> stepped;
    /** Returns the encoded state machine. */
    std::function<std::string()> encodeState;
    /**
     * The data folder was an old copy and is given up. Without this handler the member joins anew
     * under its number.
     */
    std::function<void()> dropped;
    /** The data folder cannot be used any more. */
    std::function<void(const std::string &reason)> failed;
};

/**
 * Runs the Replica of one member: its data folder, its messages and its timers. Proposals and
 * writes of one loop turn share one sync. Loop thread only.
 */
class ReplicaDriver : private kj::TaskSet::ErrorHandler
{
public:
    ReplicaDriver(EventLoop &loop, const Settings &settings, Metrics &metrics,
                  ReplicaHandlers handlers);
    ~ReplicaDriver();

    /**
     * Opens the data folder and takes part in the group. With @p bootstrap the folder must be empty
     * and the member founds the group. Returns an empty text, or why it failed.
     */
    std::string start(bool bootstrap);

    /** Proposes @p command; `apply` or `proposalFailed` follows unless leadership is lost. */
    void propose(std::uint64_t proposal, std::string command);

    /** Takes a message of another member. */
    void receive(std::string_view message);

    /** Sets the RPC address of @p member. */
    void setPeer(std::uint32_t member, const HostAddress &address)
    {
        this->replicaLink.setPeer(member, address);
    }

    /** Hands leadership to @p member, or to the most advanced one. */
    void transferLeadership(std::optional<std::uint32_t> member);

    /** Whether this member leads and has applied every command of earlier terms. */
    bool isLeading() const;

    /** Whether no other member can lead now. */
    bool hasLeaderLease() const;

    /** Number of the leader, if one is known. */
    std::optional<std::uint32_t> leader() const;

    /** Valid after start(), and while the folder is usable. */
    const Replica *replica() const { return this->member ? &*this->member : nullptr; }
    const ReplicaLink &link() const { return this->replicaLink; }

private:
    struct QueuedEvent
    {
        ReplicaEvent event;
        std::vector<std::uint64_t> proposals; // of a Propose
    };

    /** A proposal in the log that is not committed. */
    struct PendingProposal
    {
        Term term = 0;
        std::uint64_t proposal = 0;
    };

    std::string openFolder(bool bootstrap);
    std::string createFolder(bool bootstrap);
    std::string use(FolderOpenResult result, bool bootstrap);
    void run(FolderOpened opened, bool bootstrap);
    void feed(ReplicaEvent event, std::vector<std::uint64_t> proposals = {});
    void take(const QueuedEvent &queued);
    void noteProposals(const std::vector<std::uint64_t> &proposals, const ProposalResult &result);
    void apply(const LogEntry &entry);
    void install(const Snapshot &snapshot);
    void send(const ReplicaMessage &message);
    void scheduleTurn();
    void runTurn();
    void sync();
    void saveSnapshotIfDue();
    void storageFailed(const StorageError &error);
    void reopen();
    void dropFolder();
    void scheduleTick();
    void logRole(const RoleChange &change) const;
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop;
    const Settings &settings;
    StorageOptions storage;
    ReplicaOptions options;
    ReplicaHandlers handlers;
    ReplicaLink replicaLink;
    prometheus::Histogram &syncSeconds;
    prometheus::Counter &appliedCount;
    prometheus::Counter &snapshotCount;

    std::unique_ptr<DataFolder> folder;
    std::optional<Replica> member;
    std::deque<QueuedEvent> queue;
    bool stepping = false;
    std::vector<std::pair<std::uint64_t, std::string>> proposals; // of this turn
    std::map<LogIndex, PendingProposal> pendingProposals;
    std::vector<Persist> unsynced;
    LogIndex appliedIndex = 0;
    Term appliedTerm = 0;
    std::size_t bytesSinceSnapshot = 0;
    std::size_t snapshotBytes = 0;
    bool turnScheduled = false;
    EventLoop::Timer tickTimer;
    EventLoop::Timer reopenTimer;
    kj::TaskSet turns;
};

} // namespace cassiaroad
