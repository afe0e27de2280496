#include "version/grantbuilder.h"

#include <set>

namespace cassiaroad {

bool GrantBuilder::contains(const RouteEntry &route, const UpstreamEntry &owner)
{
    if (route.route.state == RouteState::Releasing) {
        return route.route.reason == MoveReason::Planned && owner.upstream.checksGrants;
    }
    return route.route.state == RouteState::Owned;
}

GrantSet GrantBuilder::build(const RoutingState &routing, const UpstreamEntry &entry,
                             std::uint32_t shards)
{
    const UpstreamId &id = entry.upstream.id;
    GrantSet set;
    set.version = entry.grantVersion;
    std::set<std::uint32_t> granted;
    const auto add = [&](const RouteSubject &subject, const RouteEntry &route) {
        if (route.route.upstream != id.name || !contains(route, entry)) {
            return false;
        }
        set.grants.push_back(
                { subject, route.route.epoch, route.route.state == RouteState::Releasing });
        return true;
    };
    const auto firstShard = routing.shards().lower_bound({ id.service, 0 });
    for (auto it = firstShard; it != routing.shards().end() && it->first.service == id.service;
         ++it) {
        if (add(it->first, it->second)) {
            granted.insert(it->first.shard);
        }
    }
    const auto firstKey = routing.keys().lower_bound({ id.service, "" });
    for (auto it = firstKey; it != routing.keys().end() && it->first.service == id.service; ++it) {
        const bool own = add(it->first, it->second);
        if (!own && granted.contains(shardOfKey(it->first.key, shards))) {
            set.movedAway.push_back(it->first);
        }
    }
    return set;
}

} // namespace cassiaroad
