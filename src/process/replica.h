#pragma once

#include "process/replicamessage.h"

namespace cassiaroad {

class ReplicaCore;

/** Durations and sizes of a Replica. */
struct ReplicaOptions
{
    std::vector<std::uint32_t> members; // slot numbers of the group, from the settings
    Milliseconds heartbeat { 60 };
    Milliseconds minElectionTimeout { 300 };
    Milliseconds maxElectionTimeout { 500 };
    // Added to every election timeout of this member. A member far from the others waits longer, so
    // that two survivors do not split the vote while their requests cross on the way.
    Milliseconds electionDelay { 0 };
    Milliseconds leaderLease { 270 }; // below minElectionTimeout by the tolerated drift of clocks
    std::size_t maxBatchBytes = 128ULL * 1024; // of entries in one message
    std::size_t maxBatchesInFlight = 8; // to one member
    std::size_t snapshotChunkBytes = 128ULL * 1024;
    LogIndex entriesKeptBehindSnapshot = 1000; // spare short lags a snapshot transfer
};

/** What a data folder holds when a member starts. */
struct RecoveredState
{
    MemberId member;
    std::uint64_t startCounter = 0; // already raised and synced for this start
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries; // without gaps
};

// Events.

/** Time has passed; due at nextDeadline(), harmless at any other time. */
struct Tick
{ };

struct MessageReceived
{
    ReplicaMessage message;
};

/** Commands collected in one turn of the loop; appended, synced and sent together. */
struct Propose
{
    std::vector<std::string> commands;
};

/** Everything up to Persist number @p sequence is written and synced. */
struct LogSynced
{
    std::uint64_t sequence = 0;
};

/** A Persist or a snapshot could not be written. The Replica acknowledges nothing any more. */
struct PersistFailed
{ };

/** The state machine was saved at an entry that was handed out as committed. */
struct SnapshotSaved
{
    Snapshot snapshot;
};

/** The snapshot of ReplicaActions::install is saved and synced, and the log store was reset to it.
 */
struct SnapshotInstalled
{
    LogIndex index = 0;
};

/** Hands the leadership over, to @p to or to the most advanced follower. */
struct TransferLeadership
{
    std::optional<std::uint32_t> to; // slot number
};

using ReplicaEvent = std::variant<Tick, MessageReceived, Propose, LogSynced, PersistFailed,
                                  SnapshotSaved, SnapshotInstalled, TransferLeadership>;

// Actions.

/** To be written in one append with one sync; then LogSynced with its sequence. */
struct Persist
{
    std::uint64_t sequence = 0;
    std::optional<HardState> hardState;
    std::vector<LogEntry> entries; // replace everything stored from the first one's index on
    LogIndex compactBefore = 0; // entries below may be deleted; 0: none

    bool operator==(const Persist &) const = default;
};

enum class ReplicaRole {
    Starting, // waits for a peer to confirm that its folder is not old
    Learner,
    Follower,
    Candidate,
    Leader,
    Failed, // its storage failed: open the folder again and create a new Replica
    Dropped, // its folder is old: see ReplicaActions::dropFolder
};

struct RoleChange
{
    ReplicaRole role = ReplicaRole::Starting;
    Term term = 0;
    std::optional<MemberId> leader;

    bool operator==(const RoleChange &) const = default;
};

struct ProposalAccepted
{
    LogIndex firstIndex = 0; // the others follow without gaps
    Term term = 0; // committed only if the committed entry at that index has this term

    bool operator==(const ProposalAccepted &) const = default;
};

enum class ProposalRefusal { NotLeader, Transferring, StorageFailed };

using ProposalResult = std::variant<ProposalAccepted, ProposalRefusal>;

/** What the caller has to do, in the order of the members. */
struct ReplicaActions
{
    bool dropFolder = false; // delete the folder, create one with a new incarnation, start anew
    std::optional<Snapshot> install; // replaces state machine, snapshot and log
    std::optional<Persist> persist;
    std::vector<ReplicaMessage> messages; // may be sent before persist is synced
    std::vector<LogEntry> committed; // to apply, in order, each index once per run
    std::optional<ProposalResult> proposal; // only after Propose
    std::optional<RoleChange> roleChange;
};

/**
 * One member of a replicated log after Raft, with pre-vote, check-quorum, leader lease and
 * single-member changes. Pure: it reads no clock and does no input or output. Messages that depend
 * on unsynced data are kept back until LogSynced. Messages may be lost, repeated and reordered.
 * Not thread-safe: use it on one thread.
 */
class Replica
{
public:
    /**
     * Creates a member from its folder's content. @p seed feeds the election timeout and the nonce
     * of the run and must differ between members and starts. With @p bootstrap and an empty log the
     * member founds a group of which it is the only voter; the others join it.
     */
    Replica(const ReplicaOptions &options, RecoveredState recovered, std::uint64_t seed,
            TimePoint now, bool bootstrap = false);
    ~Replica();
    Replica(Replica &&) noexcept;
    Replica &operator=(Replica &&) noexcept;

    /** Takes one event. @p now must not go back between calls. */
    ReplicaActions step(const ReplicaEvent &event, TimePoint now);

    /** When the next Tick is due; valid until the next step(). */
    TimePoint nextDeadline() const;

    /**
     * Whether this member leads, has committed an entry of its term, and no other member can lead
     * at @p now: a majority answered a heartbeat sent less than leaderLease ago.
     */
    bool hasLeaderLease(TimePoint now) const;

    ReplicaRole role() const;
    Term term() const;
    /** The leader that this member follows (or is), if it knows one. */
    std::optional<MemberId> leader() const;
    const MemberId &id() const;
    LogIndex commitIndex() const;
    LogIndex lastIndex() const;
    /** Index of the last snapshot; with commitIndex() it tells when to take the next one. */
    LogIndex snapshotIndex() const;
    /** The voters by the latest entry of the own log, committed or not. */
    const Configuration &configuration() const;
    /** The voters as of @p index, which was handed out as committed; for SnapshotSaved. */
    SnapshotMeta snapshotMetaAt(LogIndex index) const;
    /** Latest known run of each peer. */
    const std::vector<MemberRun> &knownRuns() const;

private:
    std::unique_ptr<ReplicaCore> core;
};

} // namespace cassiaroad
