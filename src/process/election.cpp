#include "process/election.h"

#include <tuple>

namespace cassiaroad {

void Election::tick()
{
    const bool canCampaign = this->state.role == ReplicaRole::Follower
                             || this->state.role == ReplicaRole::Candidate;
    if (!canCampaign || this->state.now < this->state.electionDeadline) {
        return;
    }
    if (this->state.installing) {
        this->state.resetElectionTimer();
        return;
    }
    this->startPreVote();
}

void Election::startPreVote()
{
    this->state.role = ReplicaRole::Candidate;
    this->state.leader.reset();
    this->state.resetElectionTimer();
    this->phase = Phase::PreVote;
    this->votes = { this->state.self.member };
    if (this->hasMajority()) {
        this->startVote(false);
        return;
    }
    this->requestVotes(false);
}

void Election::startVote(bool transfer)
{
    this->state.role = ReplicaRole::Candidate;
    this->state.leader.reset();
    this->state.resetElectionTimer();
    this->state.setVote(this->state.hard.term + 1, this->state.self.member);
    this->phase = Phase::Vote;
    this->votes.clear();
    this->ownVoteSequence = this->state.outbox.sequence();
    this->requestVotes(transfer);
}

void Election::requestVotes(bool transfer)
{
    VoteRequest request { this->state.hard.term, this->state.log.lastIndex(),
                          this->state.log.lastTerm(), this->phase == Phase::PreVote, transfer };
    if (request.preVote) {
        ++request.term;
    }
    for (const MemberId &voter : this->state.log.configuration().voters) {
        if (voter != this->state.self.member) {
            this->state.outbox.sendWhenSynced(voter, request);
        }
    }
}

void Election::onSynced()
{
    if (this->phase == Phase::Vote && this->state.outbox.isSynced(this->ownVoteSequence)) {
        this->votes.insert(this->state.self.member);
    }
}

bool Election::hasMajority() const
{
    const Configuration &configuration = this->state.log.configuration();
    const auto granted
            = std::count_if(configuration.voters.begin(), configuration.voters.end(),
                            [&](const MemberId &voter) { return this->votes.contains(voter); });
    return static_cast<std::size_t>(granted) >= configuration.majority();
}

bool Election::hasWon() const
{
    // If this member's own vote were not synced, it could vote for another member in the same term
    // after a restart.
    return this->state.role == ReplicaRole::Candidate && this->phase == Phase::Vote
           && this->votes.contains(this->state.self.member) && this->hasMajority();
}

bool Election::isUpToDate(const VoteRequest &request) const
{
    return std::tuple(request.lastTerm, request.lastIndex)
           >= std::tuple(this->state.log.lastTerm(), this->state.log.lastIndex());
}

void Election::refuse(const MemberId &to, bool preVote)
{
    this->state.outbox.sendWhenSynced(to, VoteReply { this->state.hard.term, false, preVote });
}

void Election::replyToPreVote(const MemberId &to, const VoteRequest &request)
{
    if (request.term > this->state.hard.term && this->isUpToDate(request)) {
        this->state.outbox.sendWhenSynced(to, VoteReply { request.term, true, true });
        return;
    }
    this->refuse(to, true);
}

void Election::onVoteRequest(const MemberId &from, const VoteRequest &request)
{
    // A member that was isolated must not depose a leader whose heartbeats still reach the others,
    // and the leader lease relies on no other member being elected meanwhile.
    if (this->state.hasRecentLeaderContact() && !request.transfer) {
        return;
    }
    if (request.preVote) {
        this->replyToPreVote(from, request);
        return;
    }
    if (request.term > this->state.hard.term) {
        this->cancel();
        this->state.follow(request.term, std::nullopt);
    }
    const bool canVoteForSender = !this->state.hard.vote || this->state.hard.vote == from;
    // A candidate requests votes from the voters of its own log. One of them may still be a learner
    // in its own view, because it has not received the entry that made it a voter. Its vote may be
    // needed if another member has just failed.
    const bool following
            = this->state.role == ReplicaRole::Follower || this->state.role == ReplicaRole::Learner;
    if (request.term < this->state.hard.term || !canVoteForSender || !following
        || !this->isUpToDate(request)) {
        this->refuse(from, false);
        return;
    }
    this->state.setVote(request.term, from);
    this->state.resetElectionTimer();
    this->state.outbox.sendWhenSynced(from, VoteReply { request.term, true, false });
}

void Election::onVoteReply(const MemberId &from, const VoteReply &reply)
{
    if (!reply.granted) {
        if (reply.term > this->state.hard.term) {
            this->cancel();
            this->state.follow(reply.term, std::nullopt);
        }
        return;
    }
    const bool preVote = this->phase == Phase::PreVote;
    const Term expected = this->state.hard.term + (preVote ? 1 : 0);
    if (this->state.role != ReplicaRole::Candidate || this->phase == Phase::None
        || reply.preVote != preVote || reply.term != expected) {
        return;
    }
    this->votes.insert(from);
    if (preVote && this->hasMajority()) {
        this->startVote(false);
    }
}

ReplicaWait Election::wait() const
{
    return this->state.waitFor(ReplicaWait::Reason::Votes,
                               this->state.log.configuration().majority(), this->votes);
}

void Election::onTransferRequest(const TransferRequest &request)
{
    const bool canCampaign = this->state.role == ReplicaRole::Follower && !this->state.installing;
    if (canCampaign && request.term == this->state.hard.term) {
        this->startVote(true);
    }
}

} // namespace cassiaroad
