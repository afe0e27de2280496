#include "version/proposaltable.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

void ProposalTable::reset(GroupTime groupTime, TimePoint now)
{
    this->pending.clear();
    this->subjects.clear();
    this->baseTime = groupTime;
    this->lastTime = groupTime;
    this->baseAt = now;
}

void ProposalTable::setWall(WallTime time, TimePoint now)
{
    this->wall = time;
    this->wallAt = now;
}

ProposeCommand ProposalTable::propose(CommandBody body, std::vector<ProposalSubject> about,
                                      CallId call, TimePoint now)
{
    ProposeCommand action;
    action.proposal = ++this->lastId;
    this->lastTime = std::max(this->lastTime, this->baseTime + (now - this->baseAt).count);
    action.command.time = this->lastTime;
    action.command.wall = this->wall + (now - this->wallAt).count;
    action.command.body = std::move(body);
    this->subjects.insert(about.begin(), about.end());
    this->pending.emplace(action.proposal, PendingProposal { std::move(about), call });
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
