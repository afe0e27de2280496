#include "request/draintracker.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// Whether the target still has this owner, under the same grant.
bool isOwner(const Ownership &ownership, const Owner &owner)
{
    const auto *current = std::get_if<Owner>(&ownership);
    return current != nullptr && current->upstream == owner.upstream
           && current->epoch == owner.epoch && current->movedKey == owner.movedKey;
}

// Whether the owner is unavailable. An upstream that was removed from the table counts as such,
// also if the revision that reported the loss was skipped.
bool isLost(const Ownership &ownership, const Owner &owner, const RouteTable &table)
{
    const auto *none = std::get_if<NoOwner>(&ownership);
    return (none != nullptr && none->state == RouteState::Releasing
            && none->reason == MoveReason::Loss)
           || !table.upstreams().contains(owner.upstream);
}

} // namespace

void DrainTracker::start(RequestId id, const Target &target, const Owner &owner)
{
    this->requests.insert_or_assign(id, Entry { target, owner, std::nullopt });
}

void DrainTracker::finish(RequestId id)
{
    this->requests.erase(id);
}

std::vector<RequestId> DrainTracker::update(const RouteTable &table)
{
    std::vector<RequestId> lost;
    for (auto &[id, entry] : this->requests) {
        const Ownership ownership = Router::ownerOf(entry.target, table);
        if (isOwner(ownership, entry.owner)) {
            continue;
        }
        if (!entry.outdatedSince.has_value()) {
            entry.outdatedSince = table.revision();
        }
        if (isLost(ownership, entry.owner, table)) {
            lost.push_back(id);
        }
    }
    return lost;
}

Revision DrainTracker::drainedRevision(Revision seen) const
{
    Revision drained = seen;
    for (const auto &[id, entry] : this->requests) {
        if (entry.outdatedSince.has_value()) {
            drained = std::min(drained, *entry.outdatedSince - 1);
        }
    }
    return drained;
}

} // namespace cassiaroad
