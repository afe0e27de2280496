#include "process/election.h"

#include <tuple>

namespace cassiaroad {

void Election::tick()
{
    const bool mayCampaign = this->state.role == ReplicaRole::Follower
                             || this->state.role == ReplicaRole::Candidate;
    if (!mayCampaign || this->state.now < this->state.electionAt) {
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

bool Election::won() const
{
    // Without the own vote synced, a restart could vote for another member in this term.
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

void Election::grantPreVote(const MemberId &to, const VoteRequest &request)
{
    if (request.term > this->state.hard.term && this->isUpToDate(request)) {
        this->state.outbox.sendWhenSynced(to, VoteReply { request.term, true, true });
        return;
    }
    this->refuse(to, true);
}

void Election::onVoteRequest(const MemberId &from, const VoteRequest &request)
{
    // A member that was cut off must not depose a leader that the others still hear, and the
    // leader's lease depends on nobody else being elected meanwhile.
    if (this->state.leaderHeardRecently() && !request.transfer) {
        return;
    }
    if (request.preVote) {
        this->grantPreVote(from, request);
        return;
    }
    if (request.term > this->state.hard.term) {
        this->cancel();
        this->state.follow(request.term, std::nullopt);
    }
    const bool free = !this->state.hard.vote || this->state.hard.vote == from;
    // The candidate asks the voters of its own log. A learner that has not received the entry that
    // made it a voter is one of them and may be needed, if another member was lost just then.
    const bool following
            = this->state.role == ReplicaRole::Follower || this->state.role == ReplicaRole::Learner;
    if (request.term < this->state.hard.term || !free || !following || !this->isUpToDate(request)) {
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

void Election::onTransferRequest(const TransferRequest &request)
{
    const bool mayCampaign = this->state.role == ReplicaRole::Follower && !this->state.installing;
    if (mayCampaign && request.term == this->state.hard.term) {
        this->startVote(true);
    }
}

} // namespace cassiaroad
