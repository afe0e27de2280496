#pragma once

#include "assignment.h"

#include "version/rebalancepolicy.h"

namespace cassiaroad::placement {

/** The policy of the control process: places the shards without an accepting owner, then
 * rebalances. */
class CassiaroadPolicy
{
public:
    static constexpr const char *name = "cassiaroad";

    /** @p shardKeys has the number of keys of each shard. */
    CassiaroadPolicy(PlacementWeights weights, std::vector<std::uint64_t> shardKeys);

    void update(const Observation &observation, Assignment &assignment) const;

private:
    void placeUnownedShards(const Observation &observation, Assignment &assignment) const;
    void rebalance(const Observation &observation, Assignment &assignment) const;

    PlacementWeights weights;
    std::vector<std::uint64_t> shardKeys;
};

/** Earlier version of that policy, which moves whole shards and no single keys. */
class ShardsOnlyPolicy
{
public:
    static constexpr const char *name = "shards-only";

    ShardsOnlyPolicy(PlacementWeights weights, std::vector<std::uint64_t> shardKeys);

    void update(const Observation &observation, Assignment &assignment) const;

private:
    PlacementWeights weights;
    std::vector<std::uint64_t> shardKeys;
};

/** Returns the number of a server from its name "server-N"; noServer if the name is empty. */
int serverNumber(const std::string &name);

} // namespace cassiaroad::placement
