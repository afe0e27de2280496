#include "version/routetable.h"

#include <xxhash.h>

namespace cassiaroad {

std::uint32_t shardOfKey(std::string_view key, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(XXH3_64bits(key.data(), key.size()) & (shards - 1));
}

std::uint32_t homeRegionOfShard(std::uint32_t shard, std::uint32_t regionCount)
{
    return shard % regionCount;
}

std::shared_ptr<const RouteTable> RouteTable::apply(const RouteDelta &delta) const
{
    const bool complete = delta.fromRevision == 0;
    if (delta.toRevision < this->tableRevision
        || (!complete && delta.fromRevision != this->tableRevision)) {
        return nullptr;
    }
    auto next = std::make_shared<RouteTable>(complete ? RouteTable() : *this);
    next->tableRevision = delta.toRevision;
    for (const UpstreamId &id : delta.removedUpstreams) {
        next->upstreamMap.erase(id);
    }
    for (const Upstream &upstream : delta.upstreams) {
        next->upstreamMap.insert_or_assign(upstream.id, upstream);
    }
    for (const auto &[shard, route] : delta.shards) {
        next->shardMap.insert_or_assign(shard, route);
    }
    for (const KeyRef &key : delta.removedKeys) {
        next->keyMap.erase(key);
    }
    for (const auto &[key, route] : delta.keys) {
        next->keyMap.insert_or_assign(key, route);
    }
    next->settingMap = delta.settings;
    return next;
}

RouteLookup RouteTable::lookup(std::string_view service, std::string_view key,
                               std::uint32_t shards) const
{
    RouteLookup result;
    result.shard = shardOfKey(key, shards);
    const KeyRef keyRef { std::string(service), std::string(key) };
    const auto keyRoute = this->keyMap.find(keyRef);
    if (keyRoute != this->keyMap.end()) {
        result.movedKey = true;
        result.route = keyRoute->second;
    } else {
        const auto shardRoute = this->shardMap.find(ShardRef { keyRef.service, result.shard });
        if (shardRoute == this->shardMap.end()) {
            return result;
        }
        result.route = shardRoute->second;
    }
    const auto upstream
            = this->upstreamMap.find(UpstreamId { keyRef.service, result.route.upstream });
    if (upstream != this->upstreamMap.end()) {
        result.upstream = &upstream->second;
    }
    return result;
}

} // namespace cassiaroad
