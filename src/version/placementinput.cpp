#include "version/placementinput.h"

#include "version/settingoverrides.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace cassiaroad {

namespace {

constexpr GroupTime coldDuration = 30000; // how long an upstream counts as cold after it is up
constexpr std::size_t maxHeavyKeys = 256;

/** Returns the owner, or the new one if a change of owner is in progress; empty: none. */
std::string nextOwner(const RouteEntry *entry)
{
    if (entry == nullptr || entry->route.state == RouteState::Unassigned) {
        return "";
    }
    return entry->route.state == RouteState::Releasing ? entry->to : entry->route.upstream;
}

/** Returns the keys with the highest load and all moved keys of a service, with their load. */
std::map<KeyRef, double> keysOf(const ControlState &state, const LoadTable &loads,
                                const ServiceShards &service)
{
    std::map<KeyRef, double> keys;
    for (const auto &[key, load] : loads.heaviestKeys(service.name, maxHeavyKeys)) {
        keys.emplace(key, load);
    }
    for (const auto &[key, entry] : state.routing().keys()) {
        if (key.service == service.name) {
            keys.emplace(key, loads.keyLoad(key));
        }
    }
    return keys;
}

void readKeys(PlacementInput &input, const ControlState &state, const LoadTable &loads,
              const ServiceShards &service)
{
    std::map<std::uint32_t, std::size_t> shardIndex;
    for (std::size_t i = 0; i < input.shards.size(); ++i) {
        shardIndex.emplace(input.shards[i].shard, i);
    }
    for (const auto &[key, load] : keysOf(state, loads, service)) {
        const std::uint32_t shard = shardOfKey(key.key, service.shards);
        const auto home = shardIndex.find(shard);
        if (home == shardIndex.end()) {
            continue; // belongs to another region
        }
        PlacementShard &homeShard = input.shards[home->second];
        const std::string &shardOwner = homeShard.owner;
        const RouteEntry *moved = state.routing().route(key);
        if (moved != nullptr) {
            // Entry hosts also count the requests for a moved key as requests for its shard.
            homeShard.load = std::max(0.0, homeShard.load - load);
        }
        const std::string owner = moved == nullptr ? shardOwner : nextOwner(moved);
        input.keys.push_back({ key.key, shard, owner, shardOwner, load, moved != nullptr });
    }
}

} // namespace

PlacementInput PlacementInput::read(const ControlState &state, const LoadTable &loads,
                                    const OwnershipConfig &config, const ServiceShards &service)
{
    PlacementInput input;
    for (const auto &[id, entry] : state.routing().upstreams()) {
        if (id.service == service.name) {
            const double capacity = std::max(1.0, static_cast<double>(entry.upstream.slots));
            input.servers.push_back({ id.name, entry.upstream.zone, capacity,
                                      state.routing().accepts(entry),
                                      state.groupTime() - entry.upSince < coldDuration });
        }
    }
    for (std::uint32_t shard = config.regionIndex; shard < service.shards;
         shard += config.regionCount) {
        const ShardRef ref { service.name, shard };
        const double load = loads.shardLoad(ref);
        // The keys of a shard are not counted. It is taken to have one key for each request per
        // second, and at least one.
        const auto keys = std::max(1.0, std::ceil(load));
        input.shards.push_back({ shard, nextOwner(state.routing().route(ref)), load,
                                 static_cast<std::uint64_t>(keys) });
    }
    readKeys(input, state, loads, service);
    return input;
}

PlacementWeights PlacementInput::weights(const ControlState &state, const OwnershipConfig &config)
{
    const auto &overrides = state.routing().overrides();
    return { SettingOverrides::number(overrides, "placement.imbalance-weight",
                                      config.imbalanceWeight),
             SettingOverrides::number(overrides, "placement.churn-weight", config.churnWeight),
             SettingOverrides::number(overrides, "placement.unavailability-weight",
                                      config.unavailabilityWeight) };
}

} // namespace cassiaroad
