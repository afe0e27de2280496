#pragma once

#include "version/routingstate.h"

namespace cassiaroad {

/** Derives differences of route tables from the routing state. Stateless; thread-safe. */
class RouteDeltaBuilder
{
public:
    /** Returns the complete table as a difference to the empty one. */
    static RouteDelta complete(const RoutingState &routing);

    /** Returns the present values of all items in @p changes, which were made after @p since. */
    static RouteDelta difference(const RoutingState &routing, Revision since,
                                 const std::set<RouteChange> &changes);
};

} // namespace cassiaroad
