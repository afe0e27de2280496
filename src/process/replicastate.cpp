#include "process/replicastate.h"

namespace cassiaroad {

ReplicaState::ReplicaState(const ReplicaOptions &settings, RecoveredState recovered,
                           std::uint64_t seed, TimePoint start)
    : options(settings)
    , random(seed)
    , self({ recovered.member, recovered.startCounter, this->random() })
    , now(start)
    , log(recovered.snapshot, std::move(recovered.entries))
    , hard(std::move(recovered.hardState))
    , snapshot(std::move(recovered.snapshot))
    , leaderContactAt(start) // a reply sent before the restart may keep the leader lease valid
    , outbox(this->self)
{
    this->commitIndex = this->snapshot ? this->snapshot->meta.index : 0;
    this->lastApplied = this->commitIndex;
    this->outbox.onLogReplaced(this->log.lastIndex());
    this->resetElectionTimer();
}

void ReplicaState::follow(Term term, std::optional<MemberId> newLeader)
{
    if (term > this->hard.term) {
        this->hard.term = term;
        this->hard.vote.reset();
        this->persistHardState();
    }
    this->leader = newLeader;
    if (this->role != ReplicaRole::Starting) {
        this->role = ReplicaRole::Follower;
        this->updateRole();
    }
}

void ReplicaState::updateRole()
{
    if (this->role == ReplicaRole::Follower || this->role == ReplicaRole::Learner) {
        this->role = this->isVoter() ? ReplicaRole::Follower : ReplicaRole::Learner;
    }
}

void ReplicaState::setVote(Term term, const MemberId &vote)
{
    this->hard.term = term;
    this->hard.vote = vote;
    this->persistHardState();
}

void ReplicaState::resetElectionTimer()
{
    std::uniform_int_distribution<std::int64_t> timeout(this->options.minElectionTimeout.count,
                                                        this->options.maxElectionTimeout.count);
    this->electionDeadline
            = this->now + this->options.electionDelay + Milliseconds { timeout(this->random) };
}

void ReplicaState::advanceCommit(LogIndex index)
{
    if (index <= this->commitIndex) {
        return;
    }
    const LogIndex configured = this->log.configurationIndex();
    const bool newConfiguration = configured > this->commitIndex && configured <= index;
    this->commitIndex = index;
    if (newConfiguration) {
        this->pruneRuns();
    }
}

ReplicaWait ReplicaState::waitFor(ReplicaWait::Reason reason, std::size_t needed,
                                  const std::set<MemberId> &received) const
{
    ReplicaWait wait { reason, needed, { this->self.member.number }, {}, 0 };
    for (const MemberId &id : received) {
        if (id != this->self.member) {
            wait.received.push_back(id.number);
        }
    }
    for (const MemberId &voter : this->log.configuration().voters) {
        if (voter != this->self.member && !received.contains(voter)) {
            wait.missing.push_back(voter.number);
        }
    }
    std::sort(wait.received.begin(), wait.received.end());
    return wait;
}

const MemberRun *ReplicaState::knownRun(const MemberId &id) const
{
    for (const MemberRun &run : this->hard.runs) {
        if (run.member == id) {
            return &run;
        }
    }
    return nullptr;
}

void ReplicaState::recordRun(const MemberRun &run)
{
    if (run.member == this->self.member) {
        return;
    }
    for (MemberRun &known : this->hard.runs) {
        if (known.member == run.member) {
            if (run.startCounter > known.startCounter) {
                known = run;
                this->persistHardState();
            }
            return;
        }
    }
    this->hard.runs.push_back(run);
    std::sort(this->hard.runs.begin(), this->hard.runs.end());
    this->persistHardState();
}

void ReplicaState::pruneRuns()
{
    const Configuration &current = this->log.configuration();
    const auto isReplaced = [&](const MemberRun &run) {
        return !current.contains(run.member)
               && std::any_of(
                       current.voters.begin(), current.voters.end(),
                       [&](const MemberId &voter) { return voter.number == run.member.number; });
    };
    if (std::erase_if(this->hard.runs, isReplaced) > 0) {
        this->persistHardState();
    }
}

} // namespace cassiaroad
