#include "version/placementinput.h"

#include "version/settingoverrides.h"

#include <algorithm>
#include <cmath>

namespace cassiaroad {

namespace {

constexpr GroupTime coldTime = 30000;

std::string presentOwner(const RouteEntry *entry)
{
    if (entry == nullptr || entry->route.state == RouteState::Unassigned) {
        return "";
    }
    return entry->route.state == RouteState::Releasing ? entry->to : entry->route.upstream;
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
                                      state.groupTime() - entry.upSince < coldTime });
        }
    }
    for (std::uint32_t shard = config.regionIndex; shard < service.shards;
         shard += config.regionCount) {
        const ShardRef ref { service.name, shard };
        const double load = loads.shardLoad(ref);
        // Without a count of keys, a shard has at least one key, and one for each request a second.
        const auto keys = std::max(1.0, std::ceil(load));
        input.shards.push_back({ shard, presentOwner(state.routing().route(ref)), load,
                                 static_cast<std::uint64_t>(keys) });
    }
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
