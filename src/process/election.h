#pragma once

#include "process/replicastate.h"

#include <set>

namespace cassiaroad {

/** Pre-votes and elections of one member, as a candidate and as a voter. */
class Election
{
public:
    explicit Election(ReplicaState &state)
        : state(state)
    { }

    /** Starts a pre-vote when the election timeout has passed. */
    void tick();
    void onVoteRequest(const MemberId &from, const VoteRequest &request);
    void onVoteReply(const MemberId &from, const VoteReply &reply);
    void onTransferRequest(const TransferRequest &request);
    /** Counts this member's own vote once it is synced. */
    void onSynced();
    /** Ends an election: it was won, a leader sent a request, or a higher term was seen. */
    void cancel() { this->phase = Phase::None; }

    ReplicaWait wait() const;
    /** Whether a majority has voted for this member in its current term. */
    bool hasWon() const;

private:
    enum class Phase { None, PreVote, Vote };

    void startPreVote();
    void startVote(bool transfer);
    void requestVotes(bool transfer);
    bool hasMajority() const;
    bool isUpToDate(const VoteRequest &request) const;
    void refuse(const MemberId &to, bool preVote);
    void replyToPreVote(const MemberId &to, const VoteRequest &request);

    ReplicaState &state;
    Phase phase = Phase::None;
    std::set<MemberId> votes;
    std::uint64_t ownVoteSequence = 0; // of the Persist with this member's own vote
};

} // namespace cassiaroad
