#pragma once

#include "process/replicaoutbox.h"

#include <random>
#include <set>

namespace cassiaroad {

/** State that the parts of a Replica share. */
class ReplicaState
{
public:
    ReplicaState(const ReplicaOptions &options, RecoveredState recovered, std::uint64_t seed,
                 TimePoint now);

    bool isVoter() const { return this->log.configuration().contains(this->self.member); }
    /** Whether @p id is a voter by the latest configuration. */
    bool isVoter(const MemberId &id) const { return this->log.configuration().contains(id); }
    /** Whether a leader has sent a request so recently that its lease may be valid. */
    bool hasRecentLeaderContact() const
    {
        return this->now < this->leaderContactAt + this->options.minElectionTimeout;
    }

    /**
     * Becomes a follower of @p leader in @p term, or a learner if this member is not a voter.
     * Persists the term if it is new. A member that is Starting keeps that role.
     */
    void follow(Term term, std::optional<MemberId> leader);
    /** Sets the role Follower or Learner according to the configuration; other roles stay. */
    void updateRole();
    void setVote(Term term, const MemberId &vote);
    void resetElectionTimer();
    void advanceCommit(LogIndex index);

    /** Describes a wait for voters of which @p received have replied; see ReplicaWait. */
    ReplicaWait waitFor(ReplicaWait::Reason reason, std::size_t needed,
                        const std::set<MemberId> &received) const;

    const MemberRun *knownRun(const MemberId &id) const;
    /** Stores @p run if it is newer than the known run of its member. */
    void recordRun(const MemberRun &run);
    /** Removes the runs of incarnations that the committed configuration has replaced. */
    void pruneRuns();
    void persistHardState() { this->outbox.persistHardState(this->hard); }

    ReplicaOptions options;
    std::mt19937_64 random;
    MemberRun self;
    TimePoint now;
    ReplicaLog log;
    HardState hard;
    std::optional<Snapshot> snapshot; // latest
    ReplicaRole role = ReplicaRole::Starting;
    std::optional<MemberId> leader;
    LogIndex commitIndex = 0;
    LogIndex lastApplied = 0; // last index that was returned to be applied, or is in the snapshot
    TimePoint leaderContactAt; // last request of a leader; initially the time of the start
    TimePoint electionDeadline;
    bool installing = false; // a snapshot of the leader is being written
    ReplicaOutbox outbox;
};

} // namespace cassiaroad
