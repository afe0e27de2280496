#pragma once

#include "cassiaroad/membershiplog.h"
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

/** Callbacks of a ReplicaDriver. Called on the loop thread, never from within propose(). */
struct ReplicaHandlers
{
    /** Replaces the state machine; without a snapshot it starts empty. */
    std::function<void(const std::optional<Snapshot> &)> restore;
    /**
     * Applies a committed command. The number is the one given to propose(); 0 if the command was
     * proposed elsewhere.
     */
    std::function<void(const std::string &command, std::uint64_t proposal)> apply;
    /** The command will never be applied. */
    std::function<void(std::uint64_t proposal)> proposalFailed;
    /** Events were handled: leadership or the leader lease may have changed. */
    std::function<void()> eventsHandled;
    /** Returns the encoded state machine. */
    std::function<std::string()> encodeState;
    /**
     * The data folder was a stale copy and is no longer used. Without this handler the member joins
     * the group anew under its number, with an empty folder.
     */
    std::function<void()> folderDropped;
    /** The data folder cannot be used any more. */
    std::function<void(const std::string &reason)> failed;
};

/**
 * Runs the Replica of one member: its data folder, its messages and its timers. Proposals and
 * writes of one iteration of the event loop share one sync to disk. Loop thread only.
 */
class ReplicaDriver : private kj::TaskSet::ErrorHandler
{
public:
    /**
     * @p settings must have the role control. @p loop, @p settings and @p metrics must outlive
     * this.
     */
    ReplicaDriver(EventLoop &loop, const Settings &settings, Metrics &metrics,
                  ReplicaHandlers handlers);
    ~ReplicaDriver();

    /**
     * Opens the data folder and takes part in the group. With @p bootstrap the folder must be
     * empty, and the member bootstraps a new group. Returns an empty text, or why it failed.
     */
    std::string start(bool bootstrap);

    /** Proposes @p command; `apply` or `proposalFailed` follows unless leadership is lost. */
    void propose(std::uint64_t proposal, std::string command);

    /** Handles an encoded message of another member. */
    void receive(std::string_view message);
    /**
     * Handles a message of a member whose slot has been given to another host. It is answered at
     * @p sender.
     */
    void receiveFromFormerOwner(std::string_view message, const HostAddress &sender);

    /** Sets the IP address that messages name as that of this host. */
    void setOwnIp(const std::string &ip) { this->replicaLink.setOwnIp(ip); }

    /** Sets the RPC address of @p member. */
    void setPeer(std::uint32_t member, const HostAddress &address)
    {
        this->replicaLink.setPeer(member, address);
    }

    /** Transfers leadership to @p member, or to the member with the most complete log. */
    void transferLeadership(std::optional<std::uint32_t> member);

    /** Whether this member is the leader and has applied every command of earlier terms. */
    bool isLeading() const;

    /** Whether no other member can be the leader now. */
    bool hasLeaderLease() const;

    /** Number of the leader, if one is known. */
    std::optional<std::uint32_t> leader() const;

    /** Valid after start(), while the data folder is usable; otherwise nullptr. */
    const Replica *replica() const { return this->member ? &*this->member : nullptr; }
    const ReplicaLink &link() const { return this->replicaLink; }

private:
    /** An event for the Replica that waits until the events before it are handled. */
    struct QueuedEvent
    {
        ReplicaEvent event;
        std::vector<std::uint64_t> proposals; // numbers of the commands, if the event is a Propose
    };

    /** A proposal in the log that is not committed. */
    struct PendingProposal
    {
        Term term = 0;
        std::uint64_t proposal = 0;
    };

    std::string openFolder(bool bootstrap);
    std::string createFolder(bool bootstrap);
    std::string useFolder(FolderOpenResult result, bool bootstrap);
    void startReplica(FolderOpened opened, bool bootstrap);
    void dispatchEvent(ReplicaEvent event, std::vector<std::uint64_t> proposals = {});
    void handleEvent(const QueuedEvent &queued);
    void recordProposals(const std::vector<std::uint64_t> &proposals, const ProposalResult &result);
    void apply(const LogEntry &entry);
    void install(const Snapshot &snapshot);
    void send(const ReplicaMessage &message);
    void scheduleFlush();
    void flush();
    void sync();
    std::optional<StorageError> writeLog(const std::vector<Persist> &batch);
    void saveSnapshotIfDue();
    void onStorageFailed(const StorageError &error);
    void reopen();
    void dropFolder();
    void scheduleTick();
    void logRole(const RoleChange &change) const;
    void logMembership();
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
    MembershipLog membershipLog; // of `member`
    std::deque<QueuedEvent> queue;
    bool isHandlingEvents = false; // dispatchEvent() is handling the queue
    // Numbers and commands that the next flush() proposes.
    std::vector<std::pair<std::uint64_t, std::string>> proposals;
    std::map<LogIndex, PendingProposal> pendingProposals;
    std::vector<Persist> unsynced; // to be written by the next sync()
    LogIndex appliedIndex = 0;
    Term appliedTerm = 0;
    std::size_t bytesSinceSnapshot = 0;
    std::size_t snapshotBytes = 0; // size of the last snapshot
    bool flushScheduled = false;
    bool flushesWhenIdle = false; // flush() runs when no other event is ready
    EventLoop::Timer flushTimer; // bounds the wait of a scheduled flush
    EventLoop::Timer tickTimer;
    EventLoop::Timer reopenTimer;
    kj::TaskSet flushTasks;
};

} // namespace cassiaroad
