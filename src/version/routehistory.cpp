#include "version/routehistory.h"

namespace cassiaroad {

namespace {

constexpr std::size_t maxRevisions = 1024; // entry hosts that lag further get the complete table

} // namespace

void RouteHistory::add(Revision revision, std::vector<RouteChange> changes)
{
    this->revisions.emplace_back(revision, std::move(changes));
    if (this->revisions.size() > maxRevisions) {
        this->revisions.pop_front();
    }
}

std::optional<std::set<RouteChange>> RouteHistory::changesSince(Revision since,
                                                                Revision present) const
{
    const Revision oldest = this->revisions.empty() ? present + 1 : this->revisions.front().first;
    if (since > present || since + 1 < oldest) {
        return std::nullopt;
    }
    std::set<RouteChange> changes;
    for (auto it = this->revisions.rbegin(); it != this->revisions.rend() && it->first > since;
         ++it) {
        changes.insert(it->second.begin(), it->second.end());
    }
    return changes;
}

} // namespace cassiaroad
