#pragma once

#include "version/routingstate.h"

namespace cassiaroad {

/** Derives differences of route tables from the routing state. Stateless; thread-safe. */
class RouteDeltaBuilder
{
public:
    /** Returns the whole table. */
    static RouteDelta complete(const RoutingState &routing);

    /** Returns the present values of everything in @p changes, which were made after @p since. */
    static RouteDelta difference(const RoutingState &routing, Revision since,
                                 const std::set<RouteChange> &changes);
};

} // namespace cassiaroad
