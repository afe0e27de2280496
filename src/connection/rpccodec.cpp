#include "connection/rpccodec.h"

namespace cassiaroad {

namespace {

unsigned listSize(const auto &container)
{
    return static_cast<unsigned>(container.size());
}

void encodeShards(const RouteDelta &delta, rpc::RouteDelta::Builder builder)
{
    auto list = builder.initShards(listSize(delta.shards));
    for (unsigned i = 0; i < list.size(); ++i) {
        const auto &[shard, route] = delta.shards[i];
        list[i].setService(shard.service);
        list[i].setShard(shard.shard);
        encode(route, list[i].initRoute());
    }
}

void encodeKeys(const RouteDelta &delta, rpc::RouteDelta::Builder builder)
{
    auto list = builder.initKeys(listSize(delta.keys) + listSize(delta.removedKeys));
    unsigned i = 0;
    for (const auto &[key, route] : delta.keys) {
        list[i].setService(key.service);
        list[i].setKey(key.key);
        encode(route, list[i].initRoute());
        ++i;
    }
    for (const KeyRef &key : delta.removedKeys) {
        list[i].setService(key.service);
        list[i].setKey(key.key);
        list[i].setRemoved(true);
        ++i;
    }
}

} // namespace

void encode(const Upstream &upstream, rpc::Upstream::Builder builder)
{
    builder.setService(upstream.id.service);
    builder.setName(upstream.id.name);
    builder.setZone(upstream.zone);
    builder.setAddress(upstream.address);
    builder.setSlots(upstream.slots);
    builder.setConnections(upstream.connections);
    builder.setChecksGrants(upstream.checksGrants);
    builder.setInstance(upstream.instance);
    builder.setDraining(upstream.draining);
}

Upstream decode(rpc::Upstream::Reader reader)
{
    return { { reader.getService(), reader.getName() },
             reader.getZone(),
             reader.getAddress(),
             reader.getSlots(),
             reader.getConnections(),
             reader.getChecksGrants(),
             reader.getInstance(),
             reader.getDraining() };
}

void encode(const Route &route, rpc::Route::Builder builder)
{
    builder.setState(static_cast<rpc::RouteState>(route.state));
    builder.setUpstream(route.upstream);
    builder.setEpoch(route.epoch);
    builder.setReason(static_cast<rpc::MoveReason>(route.reason));
}

Route decode(rpc::Route::Reader reader)
{
    return { static_cast<RouteState>(reader.getState()), reader.getUpstream(), reader.getEpoch(),
             static_cast<MoveReason>(reader.getReason()) };
}

void encode(const RouteDelta &delta, rpc::RouteDelta::Builder builder)
{
    builder.setFromRevision(delta.fromRevision);
    builder.setToRevision(delta.toRevision);
    auto upstreams = builder.initUpstreams(listSize(delta.upstreams));
    for (unsigned i = 0; i < upstreams.size(); ++i) {
        encode(delta.upstreams[i], upstreams[i]);
    }
    auto removed = builder.initRemovedUpstreams(listSize(delta.removedUpstreams));
    for (unsigned i = 0; i < removed.size(); ++i) {
        removed[i].setService(delta.removedUpstreams[i].service);
        removed[i].setName(delta.removedUpstreams[i].name);
    }
    encodeShards(delta, builder);
    encodeKeys(delta, builder);
    auto settings = builder.initSettings(listSize(delta.settings));
    unsigned i = 0;
    for (const auto &[name, value] : delta.settings) {
        settings[i].setName(name);
        settings[i].setValue(value);
        ++i;
    }
}

RouteDelta decode(rpc::RouteDelta::Reader reader)
{
    RouteDelta delta;
    delta.fromRevision = reader.getFromRevision();
    delta.toRevision = reader.getToRevision();
    for (const auto upstream : reader.getUpstreams()) {
        delta.upstreams.push_back(decode(upstream));
    }
    for (const auto removed : reader.getRemovedUpstreams()) {
        delta.removedUpstreams.push_back({ removed.getService(), removed.getName() });
    }
    for (const auto shard : reader.getShards()) {
        delta.shards.push_back(
                { { shard.getService(), shard.getShard() }, decode(shard.getRoute()) });
    }
    for (const auto key : reader.getKeys()) {
        const KeyRef ref { key.getService(), key.getKey() };
        if (key.getRemoved()) {
            delta.removedKeys.push_back(ref);
        } else {
            delta.keys.push_back({ ref, decode(key.getRoute()) });
        }
    }
    for (const auto setting : reader.getSettings()) {
        delta.settings[setting.getName()] = setting.getValue();
    }
    return delta;
}

} // namespace cassiaroad
