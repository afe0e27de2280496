#include "version/routedeltabuilder.h"

namespace cassiaroad {

namespace {

/** Adds the present value of one changed item to a difference. */
class ChangeAdder
{
public:
    ChangeAdder(const RoutingState &routingState, RouteDelta &routeDelta)
        : routing(routingState)
        , delta(routeDelta)
    { }

    void operator()(const ShardRef &shard) const
    {
        if (const RouteEntry *entry = this->routing.route(shard)) {
            this->delta.shards.emplace_back(shard, entry->route);
        }
    }

    void operator()(const KeyRef &key) const
    {
        const RouteEntry *entry = this->routing.route(key);
        if (entry != nullptr) {
            this->delta.keys.emplace_back(key, entry->route);
        } else {
            this->delta.removedKeys.push_back(key);
        }
    }

    void operator()(const UpstreamId &id) const
    {
        const UpstreamEntry *entry = this->routing.upstream(id);
        if (entry != nullptr) {
            this->delta.upstreams.push_back(entry->upstream);
        } else if (!id.name.empty()) {
            this->delta.removedUpstreams.push_back(id);
        }
    }

private:
    const RoutingState &routing;
    RouteDelta &delta;
};

} // namespace

RouteDelta RouteDeltaBuilder::complete(const RoutingState &routing)
{
    RouteDelta delta;
    delta.toRevision = routing.revision();
    for (const auto &[id, entry] : routing.upstreams()) {
        delta.upstreams.push_back(entry.upstream);
    }
    for (const auto &[shard, entry] : routing.shards()) {
        delta.shards.emplace_back(shard, entry.route);
    }
    for (const auto &[key, entry] : routing.keys()) {
        delta.keys.emplace_back(key, entry.route);
    }
    delta.settings = routing.overrides();
    return delta;
}

RouteDelta RouteDeltaBuilder::difference(const RoutingState &routing, Revision since,
                                         const std::set<RouteChange> &changes)
{
    RouteDelta delta;
    delta.fromRevision = since;
    delta.toRevision = routing.revision();
    delta.settings = routing.overrides();
    for (const RouteChange &change : changes) {
        std::visit(ChangeAdder(routing, delta), change);
    }
    return delta;
}

} // namespace cassiaroad
