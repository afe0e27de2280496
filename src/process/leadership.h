#pragma once

#include "process/progress.h"

namespace cassiaroad {

/** What a member does while it leads. */
class Leadership
{
public:
    explicit Leadership(ReplicaState &state)
        : state(state)
    { }

    /** Takes the lead in the current term and appends a no-op. */
    void begin();
    /** Sends heartbeats, checks the quorum, ends a late transfer. */
    void tick();
    ProposalResult propose(std::vector<std::string> commands);
    void onAppendReply(const MemberRun &from, const AppendReply &reply);
    void onSnapshotReply(const MemberId &from, const SnapshotReply &reply);
    /** The own entries up to syncedIndex() now count. */
    void onSynced() { this->commit(); }
    void transfer(std::optional<std::uint32_t> to);
    /** Gives the lead to the most advanced follower at once, as the own storage failed. */
    void abandon();
    /** A member reported its start and was accepted. Precondition: its slot is in the settings. */
    void memberStarted(const MemberRun &run, LogIndex lastIndex);

    /** Whether an earlier run of the member acknowledged more in this term than @p run holds. */
    bool hasAcknowledgedMore(const MemberRun &run, const StartReport &report) const;
    bool hasLease(TimePoint now) const;
    TimePoint nextDeadline() const;

private:
    struct Transfer
    {
        MemberId to;
        TimePoint deadline;
    };

    void append(EntryPayload payload);
    void sendEntries();
    void commit();
    bool quorumAnsweredSince(TimePoint time) const;
    bool isActive(const MemberId &id) const;
    void changeMembers();
    bool replaceVoter(const MemberId &learner);
    void setVoters(std::vector<MemberId> voters);
    void finishTransfer();
    void yieldTo(const MemberId &id);

    ReplicaState &state;
    std::map<MemberId, Progress> progress; // voters and learners but the own member
    TimePoint beganAt;
    LogIndex noOpIndex = 0;
    TimePoint heartbeatAt;
    std::optional<Transfer> pendingTransfer;
};

} // namespace cassiaroad
