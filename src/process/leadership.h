#pragma once

#include "process/progress.h"

namespace cassiaroad {

/** The leader's part of a Replica: replicates and commits entries and changes the members. */
class Leadership
{
public:
    explicit Leadership(ReplicaState &state)
        : state(state)
    { }

    /** Becomes leader in the current term and appends a no-op entry. */
    void begin();
    /** Sends due heartbeats, steps down without a quorum, and cancels a transfer that timed out. */
    void tick();
    ProposalResult propose(std::vector<std::string> commands);
    void onAppendReply(const MemberRun &from, const AppendReply &reply);
    void onSnapshotReply(const MemberId &from, const SnapshotReply &reply);
    /** Commits entries for which only the sync of this member's own log was missing. */
    void onSynced() { this->commit(); }
    /** Transfers leadership to slot @p to, or else to the active voter with the longest log. */
    void transfer(std::optional<std::uint32_t> to);
    /** Transfers leadership at once to the active voter with the longest log, as storage failed. */
    void transferImmediately();
    /** Starts replication to a run that was accepted. Precondition: its slot is in the settings. */
    void onMemberStarted(const MemberRun &run, LogIndex lastIndex);

    /** Whether an earlier run of the member acknowledged more in this term than @p run has. */
    bool hasAcknowledgedMore(const MemberRun &run, const StartReport &report) const;
    bool hasLease(TimePoint now) const;
    /** The learners that are not voters yet; nothing if there are none. */
    std::optional<ReplicaWait> wait() const;
    TimePoint nextDeadline() const;

private:
    struct Transfer
    {
        MemberId to;
        TimePoint deadline;
    };

    void append(EntryPayload payload);
    void sendEntries();
    /** Advances the commit index to the last entry that a majority has synced. */
    void commit();
    /** Whether a majority has replied to requests that were sent after @p time. */
    bool hasQuorumReplySince(TimePoint time) const;
    /** Whether the member has replied within the minimum election timeout. */
    bool isActive(const MemberId &id) const;
    /** Makes a learner that has caught up a voter, one configuration change at a time. */
    void changeMembers();
    /** Adds @p learner, or first removes the inactive voter of its slot; returns whether it did. */
    bool replaceVoter(const MemberId &learner);
    void setVoters(std::vector<MemberId> voters);
    /** Completes a pending transfer if its target has all entries. */
    void finishTransfer();
    void transferLeadershipTo(const MemberId &id);

    ReplicaState &state;
    std::map<MemberId, Progress> progress; // of all voters and learners except this member
    TimePoint leaderSince;
    LogIndex noOpIndex = 0; // of the no-op entry that begin() appended
    TimePoint nextHeartbeatAt;
    std::optional<Transfer> pendingTransfer;
};

} // namespace cassiaroad
