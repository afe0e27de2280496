#pragma once

#include "process/replicaoutbox.h"

#include <random>

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
    /** Whether a leader was heard so recently that its lease may be valid. */
    bool leaderHeardRecently() const
    {
        return this->now < this->heardAt + this->options.minElectionTimeout;
    }

    /** Follows @p leader in @p term; a learner stays one. Stores the term if it is new. */
    void follow(Term term, std::optional<MemberId> leader);
    /** Sets Learner or Follower by the configuration; for a role that is neither, does nothing. */
    void updateRole();
    void setVote(Term term, const MemberId &vote);
    void resetElectionTimer();
    void advanceCommit(LogIndex index);

    const MemberRun *knownRun(const MemberId &id) const;
    /** Stores @p run if it is newer than what is known. */
    void recordRun(const MemberRun &run);
    /** Forgets runs of incarnations that were replaced by a committed configuration. */
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
    LogIndex handedOut = 0; // last index given out to be applied
    TimePoint heardAt; // from a leader; at the start, the time of the start
    TimePoint electionAt;
    bool installing = false; // a snapshot is being written
    ReplicaOutbox outbox;
};

} // namespace cassiaroad
