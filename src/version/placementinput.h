#pragma once

#include "version/controlstate.h"
#include "version/loadtable.h"
#include "version/ownershipconfig.h"
#include "version/placementpolicy.h"
#include "version/rebalancepolicy.h"

#include <vector>

namespace cassiaroad {

/** One service as the placement policy sees it. */
struct PlacementInput
{
    std::vector<PlacementServer> servers;
    std::vector<PlacementShard> shards; // home shards of the region; releasing: their next owner

    std::vector<PlacementKey> keys; // heavy keys of those shards, and all moved keys

    /** Reads the present placement of @p service. Thread-safe if its arguments do not change. */
    static PlacementInput read(const ControlState &state, const LoadTable &loads,
                               const OwnershipConfig &config, const ServiceShards &service);

    /** Weights from the settings and their overrides. */
    static PlacementWeights weights(const ControlState &state, const OwnershipConfig &config);
};

} // namespace cassiaroad
