#pragma once

#include "version/ownershipevent.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/**
 * What a proposal changes: a shard or key, an upstream, the requests of an entry host, or something
 * named by a text, such as "plan 7". While a proposal for it is in flight, no second one is made.
 */
using ProposalSubject = std::variant<RouteSubject, UpstreamId, EntryHostId, std::string>;

/** A proposal that is neither committed nor refused by the log. */
struct PendingProposal
{
    std::vector<ProposalSubject> subjects;
    CallId call = 0; // call whose reply waits for the proposal; 0: none
};

/** Proposals in flight, and the times that new proposals get. Not thread-safe. */
class ProposalTable
{
public:
    /** Forgets the proposals in flight. Group time continues from @p groupTime at @p now. */
    void reset(GroupTime groupTime, TimePoint now);

    /** Sets the wall-clock time at @p now, stored in new proposals for readers of the record. */
    void setWallTime(WallTime wallTime, TimePoint now);

    /** Whether a proposal that changes @p subject is in flight. */
    bool isInFlight(const ProposalSubject &subject) const
    {
        return this->subjects.contains(subject);
    }

    /**
     * Returns the action that proposes @p body. @p proposalSubjects are in flight until take().
     * The group times of proposals never decrease.
     */
    ProposeCommand propose(CommandBody body, std::vector<ProposalSubject> proposalSubjects,
                           CallId call, TimePoint now);

    /**
     * Removes and returns a proposal that was committed or refused. Returns nothing if it was not
     * made in this term of leadership.
     */
    std::optional<PendingProposal> take(ProposalId proposal);

    /** Returns the calls whose replies wait for proposals in flight. */
    std::vector<CallId> waitingCalls() const;

private:
    ProposalId lastId = 0;
    GroupTime lastGroupTime = 0; // of the last proposal
    GroupTime baseGroupTime = 0; // group time at baseGroupTimeAt
    TimePoint baseGroupTimeAt;
    WallTime wallTime = 0; // wall-clock time at wallTimeSetAt
    TimePoint wallTimeSetAt;
    std::map<ProposalId, PendingProposal> pending;
    std::set<ProposalSubject> subjects; // of the pending proposals
};

} // namespace cassiaroad
