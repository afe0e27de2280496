#pragma once

#include "process/leadership.h"

#include <map>
#include <set>

namespace cassiaroad {

/**
 * Detects stale copies of a data folder. After each start a member reports its run to its peers and
 * takes part in the group only once a majority, itself included, has confirmed the run: accepted
 * it, or recorded it and left the decision to a leader that has accepted it.
 */
class StartCheck
{
public:
    StartCheck(ReplicaState &state, Leadership &leadership);

    /** Sends a due report to peers that have not recorded it, or to all unless isSettled(). */
    void tick();
    void onReport(const MemberRun &from, const StartReport &report);
    /**
     * Refuses the report of a member that is no voter and whose slot another host has.
     * Precondition: this member is leader and has the lease.
     */
    void refuseFormerOwner(const MemberRun &from);
    /** Returns whether the member's own data folder is stale. */
    bool onReply(const MemberRun &from, const StartReply &reply);
    TimePoint nextDeadline() const { return this->nextReportAt; }
    /** Precondition: the check has not ended. */
    ReplicaWait wait() const;
    /**
     * Whether messages of @p run are handled; records the run if its member is not known. Messages
     * of earlier runs are not: they may acknowledge entries that the member has lost since.
     */
    bool accepts(const MemberRun &run);

private:
    void report(const MemberId &to);
    /** Records the verdict of a peer about the own run, and what else it knows. */
    void record(const MemberId &peer, const StartReply &reply);
    /** The peers that have confirmed the own run and are voters by their log or by the own one. */
    std::set<MemberId> confirmedBy() const;
    bool hasConfirmed(const MemberId &peer) const;
    /** Number of members that have to confirm the run, this one included. */
    std::size_t confirmationsNeeded() const;
    bool isConfirmed() const;
    /** Whether this member is leader, or takes part in the group and has contact with a leader. */
    bool isSettled() const;
    void recordOwnRun();
    /** Whether the data folder of @p run is a stale copy, or its member was replaced. */
    bool isStale(const MemberRun &run, const StartReport &report) const;
    /** Whether the reporting member claims to be a voter but the configuration has removed it. */
    bool isReplaced(const MemberRun &run, const StartReport &report) const;
    /** Returns nothing if this member is leader and cannot decide yet; the report is repeated. */
    std::optional<StartVerdict> evaluate(const MemberRun &run, const StartReport &report);
    /** Ends the check: the member takes part in the group from now on. */
    void finish();

    ReplicaState &state;
    Leadership &leadership;
    std::vector<MemberRun> earlierRuns; // own runs that were stored before this start
    SnapshotMeta newestConfiguration; // of the own log and of the replies to this run
    std::set<MemberId> recordedBy; // peers that have stored this run
    std::set<MemberId> acceptedBy; // those of them that have accepted this run
    std::map<MemberId, Term> leftToLeaderBy; // those that have not, and their last known terms
    std::set<MemberId> votersByOwnLog; // peers that are voters according to their own log
    std::optional<Term> acceptingLeaderTerm; // the last term in which a leader has accepted it
    Term highestTerm = 0; // in the replies to this run
    TimePoint nextReportAt;
};

} // namespace cassiaroad
