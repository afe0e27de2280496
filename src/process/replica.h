#pragma once

#include "process/replicamessage.h"

namespace cassiaroad {

class ReplicaCore;

/** Options of a Replica: the members of its group, durations and sizes. */
struct ReplicaOptions
{
    std::vector<std::uint32_t> members; // slot numbers of the group, from the settings
    Milliseconds heartbeatInterval { 60 };
    Milliseconds minElectionTimeout { 300 };
    Milliseconds maxElectionTimeout { 500 };
    // Added to every election timeout of this member. It is larger for a member with a high latency
    // to the others, so that the two remaining members do not split the vote when their vote
    // requests are in transit at the same time.
    Milliseconds electionDelay { 0 };
    Milliseconds leaderLease { 270 }; // minElectionTimeout minus the tolerated clock drift
    std::size_t maxBatchBytes = 128ULL * 1024; // of entries in one message
    std::size_t maxBatchesInFlight = 8; // unacknowledged messages with entries to one member
    std::size_t snapshotChunkBytes = 128ULL * 1024;
    // A member that is behind the snapshot by fewer entries than this needs no snapshot transfer.
    LogIndex entriesRetainedBeforeSnapshot = 1000;
};

/** State that is read from the data folder when a member starts. */
struct RecoveredState
{
    MemberId member;
    std::uint64_t startCounter = 0; // already incremented and synced for this start
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries; // without gaps
};

// Events.

/** Runs the timers that are due. Expected at Replica::nextDeadline(), allowed at any time. */
struct Tick
{ };

struct MessageReceived
{
    ReplicaMessage message;
    // Whether the sender's slot has not been given to another host. A leader tells another host
    // that it was replaced, unless it is still a voter.
    bool fromSlotOwner = true;
};

/** Commands of one iteration of the event loop; they are appended, synced and sent together. */
struct Propose
{
    std::vector<std::string> commands;
};

/** Every Persist up to the one with this sequence is written and synced. */
struct LogSynced
{
    std::uint64_t sequence = 0;
};

/** A Persist or a snapshot could not be written. The Replica acknowledges nothing from then on. */
struct PersistFailed
{ };

/** A snapshot was saved of the state machine after an entry of ReplicaActions::committed. */
struct SnapshotSaved
{
    Snapshot snapshot;
};

/** The snapshot of ReplicaActions::install is saved and synced, and the log was reset to it. */
struct SnapshotInstalled
{
    LogIndex index = 0;
};

/** Transfers leadership to the member @p to, or else to the follower with the longest log. */
struct TransferLeadership
{
    std::optional<std::uint32_t> to; // slot number
};

using ReplicaEvent = std::variant<Tick, MessageReceived, Propose, LogSynced, PersistFailed,
                                  SnapshotSaved, SnapshotInstalled, TransferLeadership>;

// Actions.

/** Data to write in one append with one sync; the caller then reports LogSynced(sequence). */
struct Persist
{
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::vector<LogEntry> entries; // replace all stored entries from the index of the first one on
    LogIndex compactBefore = 0; // entries below this index may be deleted; 0: none

    bool operator==(const Persist &) const = default;
};

enum class ReplicaRole {
    Starting, // waits until its peers have confirmed that its data folder is not stale
    Learner, // receives entries, but is not a voter
    Follower,
    Candidate,
    Leader,
    Failed, // its storage failed: open the data folder again and create a new Replica
    Dropped, // its data folder is stale: see ReplicaActions::dropFolder
};

struct RoleChange
{
    ReplicaRole role = ReplicaRole::Starting;
    Term term = 0;
    std::optional<MemberId> leader;

    bool operator==(const RoleChange &) const = default;
};

/** What a member waits for, or a leader for its learners; for logs. Slots are ascending. */
struct ReplicaWait
{
    enum class Reason {
        StartConfirmation, // Starting: voters have to confirm the start
        Votes, // Candidate
        Promotion, // Learner: the leader has to make this member a voter
        Learners, // Leader: learners are not voters yet
    };

    Reason reason = Reason::StartConfirmation;
    std::size_t needed = 0; // members that have to confirm or to vote, this one included
    std::vector<std::uint32_t> received; // slots of those that have, this one included
    std::vector<std::uint32_t> missing; // slots of the others, or of the learners
    LogIndex entriesBehind = 0; // Learners: of the one that lacks the most committed entries

    bool operator==(const ReplicaWait &) const = default;
};

struct ProposalAccepted
{
    LogIndex firstIndex = 0; // of the first command; the others follow without gaps
    Term term = 0; // a command is committed only if the committed entry at its index has this term

    bool operator==(const ProposalAccepted &) const = default;
};

enum class ProposalRefusal { NotLeader, Transferring, StorageFailed };

using ProposalResult = std::variant<ProposalAccepted, ProposalRefusal>;

/** What the caller of Replica::step() has to do, in the order of the members. */
struct ReplicaActions
{
    // The data folder is stale: delete it, create one with a new incarnation and a new Replica.
    bool dropFolder = false;
    // Replaces the state machine, the stored snapshot and the log; then report SnapshotInstalled.
    std::optional<Snapshot> install;
    std::optional<Persist> persist;
    std::vector<ReplicaMessage> messages; // may be sent before persist is synced
    std::vector<LogEntry> committed; // entries to apply, in order; each index once per run
    std::optional<ProposalResult> proposal; // result of Propose
    std::optional<RoleChange> roleChange;
};

/**
 * One member of a replicated log that follows the Raft protocol, with pre-vote, check-quorum,
 * leader lease and single-member changes. Pure: it reads no clock and does no input or output.
 * Messages that depend on unsynced data are returned only after LogSynced. Messages may be lost,
 * repeated and reordered. Not thread-safe: use it on one thread.
 */
class Replica
{
public:
    /**
     * Creates a member from the content of its data folder. @p seed initializes the random election
     * timeouts and the nonce of the run; it must differ between members and starts. With
     * @p bootstrap and an empty log the member bootstraps a group of which it is the only voter;
     * the other members join that group.
     */
    Replica(const ReplicaOptions &options, RecoveredState recovered, std::uint64_t seed,
            TimePoint now, bool bootstrap = false);
    ~Replica();
    Replica(Replica &&) noexcept;
    Replica &operator=(Replica &&) noexcept;

    /** Handles one event. @p now must not decrease between calls. */
    ReplicaActions step(const ReplicaEvent &event, TimePoint now);

    /** When the next Tick is due; valid until the next step(). */
    TimePoint nextDeadline() const;

    /**
     * Whether this member is leader, has committed an entry of its term, and no other member can be
     * leader at @p now, because a majority has acknowledged heartbeats that were sent less than
     * ReplicaOptions::leaderLease ago.
     */
    bool hasLeaderLease(TimePoint now) const;

    ReplicaRole role() const;
    Term term() const;
    /** The leader that this member follows, or its own id if it is leader; nothing if unknown. */
    std::optional<MemberId> leader() const;
    const MemberId &id() const;
    LogIndex commitIndex() const;
    LogIndex lastIndex() const;
    /** Index of the last snapshot, 0 if none; with commitIndex() it shows when the next is due. */
    LogIndex snapshotIndex() const;
    /** The voters by the latest configuration in this member's log, committed or not. */
    const Configuration &configuration() const;
    /** Nothing if this member votes and, as leader, has no learner. */
    std::optional<ReplicaWait> wait() const;
    /** Metadata for SnapshotSaved at @p index, an index of ReplicaActions::committed. */
    SnapshotMeta snapshotMetaAt(LogIndex index) const;
    /** Latest known run of each peer. */
    const std::vector<MemberRun> &knownRuns() const;

private:
    std::unique_ptr<ReplicaCore> core;
};

} // namespace cassiaroad
