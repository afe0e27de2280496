#pragma once

#include "version/controlstate.h"
#include "version/loadtable.h"
#include "version/ownershipconfig.h"
#include "version/placementpolicy.h"
#include "version/rebalancepolicy.h"

#include <vector>

namespace cassiaroad {

/** Servers, shards and keys of one service, as the placement and rebalance policies see them. */
struct PlacementInput
{
    std::vector<PlacementServer> servers;
    std::vector<PlacementShard> shards; // of this region; while releasing, with the next owner

    std::vector<PlacementKey> keys; // keys of those shards with the highest load, and moved keys

    /**
     * Reads the current placement of @p service. Thread-safe if its arguments do not change
     * meanwhile.
     */
    static PlacementInput read(const ControlState &state, const LoadTable &loads,
                               const OwnershipConfig &config, const ServiceShards &service);

    /** Returns the weights from the settings and their overrides. */
    static PlacementWeights weights(const ControlState &state, const OwnershipConfig &config);
};

} // namespace cassiaroad
