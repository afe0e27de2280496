#pragma once

#include "version/ownershipevent.h"

namespace cassiaroad {

/** Derives the grants of an upstream from the control state. Stateless; thread-safe. */
class GrantBuilder
{
public:
    /** Returns the grants of a registered upstream; @p shards is the shard count of its service. */
    static GrantSet build(const RoutingState &routing, const UpstreamEntry &entry,
                          std::uint32_t shards);

    /**
     * Whether new leases of the owner contain the shard or key of @p route. A releasing shard or
     * key is left out if it moves because of a loss, or if the upstream does not check grants, so
     * that the last lease that contained it expires.
     */
    static bool contains(const RouteEntry &route, const UpstreamEntry &owner);
};

} // namespace cassiaroad
