#pragma once

#include "version/ownershipevent.h"

namespace cassiaroad {

/** Derives what an upstream may serve from the control state. Stateless; thread-safe. */
class GrantBuilder
{
public:
    /** Returns the grants of a registered upstream; @p shards is the shard count of its service. */
    static GrantSet build(const RoutingState &routing, const UpstreamEntry &entry,
                          std::uint32_t shards);

    /**
     * Whether a lease of the owner contains a subject. Subjects that are taken away because of a
     * loss, and releasing subjects of upstreams that do not check grants, are left out, so that
     * the last lease that contained them lapses.
     */
    static bool contains(const RouteEntry &route, const UpstreamEntry &owner);
};

} // namespace cassiaroad
