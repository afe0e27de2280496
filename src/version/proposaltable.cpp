#include "version/proposaltable.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

void ProposalTable::reset(GroupTime groupTime, TimePoint now)
{
    this->pending.clear();
    this->subjects.clear();
    this->baseGroupTime = groupTime;
    this->lastGroupTime = groupTime;
    this->baseGroupTimeAt = now;
}

void ProposalTable::setWallTime(WallTime time, TimePoint now)
{
    this->wallTime = time;
    this->wallTimeSetAt = now;
}

ProposeCommand ProposalTable::propose(CommandBody body,
                                      std::vector<ProposalSubject> proposalSubjects, CallId call,
                                      TimePoint now)
{
    ProposeCommand action;
    action.proposal = ++this->lastId;
    this->lastGroupTime = std::max(this->lastGroupTime,
                                   this->baseGroupTime + (now - this->baseGroupTimeAt).count);
    action.command.time = this->lastGroupTime;
    action.command.wallTime = this->wallTime + (now - this->wallTimeSetAt).count;
    action.command.body = std::move(body);
    this->subjects.insert(proposalSubjects.begin(), proposalSubjects.end());
    this->pending.emplace(action.proposal, PendingProposal { std::move(proposalSubjects), call });
    return action;
}

std::optional<PendingProposal> ProposalTable::take(ProposalId proposal)
{
    auto node = this->pending.extract(proposal);
    if (node.empty()) {
        return std::nullopt;
    }
    for (const ProposalSubject &subject : node.mapped().subjects) {
        this->subjects.erase(subject);
    }
    return std::move(node.mapped());
}

std::vector<CallId> ProposalTable::waitingCalls() const
{
    std::vector<CallId> calls;
    for (const auto &[id, proposal] : this->pending) {
        if (proposal.call != 0) {
            calls.push_back(proposal.call);
        }
    }
    return calls;
}

} // namespace cassiaroad
