#pragma once

#include "version/routetable.h"

#include <deque>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace cassiaroad {

/** An item that a revision of the routing state changed. */
using RouteChange = std::variant<ShardRef, KeyRef, UpstreamId>;

/**
 * The latest revisions with the items that they changed, from which differences are made. Bounded;
 * not part of snapshots. Not thread-safe.
 */
class RouteHistory
{
public:
    void add(Revision revision, std::vector<RouteChange> changes);

    /**
     * Returns the items that changed after @p since, or nothing if their revisions are not stored
     * any more or @p since is above @p present.
     */
    std::optional<std::set<RouteChange>> changesSince(Revision since, Revision present) const;

private:
    std::deque<std::pair<Revision, std::vector<RouteChange>>> revisions;
};

} // namespace cassiaroad
