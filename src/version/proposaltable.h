#pragma once

#include "version/ownershipevent.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** What a proposal is about; a second one for the same subject waits for the first. */
using ProposalSubject = std::variant<RouteSubject, UpstreamId, EntryHostId, std::string>;

/** A proposal that was sent to the log and has not been answered. */
struct PendingProposal
{
    std::vector<ProposalSubject> subjects;
    CallId call = 0; // call that waits for it; 0: none
};

/** Proposals in flight and the group time of new ones. Not thread-safe. */
class ProposalTable
{
public:
    /** Forgets proposals in flight and continues group time from @p groupTime at @p now. */
    void reset(GroupTime groupTime, TimePoint now);

    /** Sets the wall clock that readers of the record see; for new proposals only. */
    void setWall(WallTime wall, TimePoint now);

    bool inFlight(const ProposalSubject &subject) const { return this->subjects.contains(subject); }

    /** Returns the action that proposes @p body. Group time never goes back. */
    ProposeCommand propose(CommandBody body, std::vector<ProposalSubject> about, CallId call,
                           TimePoint now);

    /** Removes and returns an answered proposal, or nothing if it is not of this leadership. */
    std::optional<PendingProposal> take(ProposalId proposal);

    /** Calls that wait for proposals in flight. */
    std::vector<CallId> waitingCalls() const;

private:
    ProposalId lastId = 0;
    GroupTime lastTime = 0;
    GroupTime baseTime = 0;
    TimePoint baseAt;
    WallTime wall = 0;
    TimePoint wallAt;
    std::map<ProposalId, PendingProposal> pending;
    std::set<ProposalSubject> subjects;
};

} // namespace cassiaroad
