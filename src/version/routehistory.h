#pragma once

#include "version/routetable.h"

#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace cassiaroad {

/** What changed in a revision of the routing state. */
using RouteChange = std::variant<ShardRef, KeyRef, UpstreamId>;

/**
 * The latest revisions with what they changed, from which differences are made. Bounded; not part
 * of snapshots. Not thread-safe.
 */
class RouteHistory
{
public:
    void add(Revision revision, std::vector<RouteChange> changes);

    /** Returns what changed after @p since, or nothing if that revision is too old. */
    std::optional<std::set<RouteChange>> changesSince(Revision since, Revision present) const;

private:
    std::deque<std::pair<Revision, std::vector<RouteChange>>> revisions;
};

} // namespace cassiaroad
