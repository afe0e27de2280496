#pragma once

#include "assignment.h"

#include "version/keyplacementpolicy.h"

namespace cassiaroad::placement {

/** The policy of the control process: places unserved shards, balances by single heavy keys. */
class CassiaroadPolicy
{
public:
    static constexpr const char *name = "cassiaroad";

    /** @p shardKeys is the number of keys of each shard. */
    CassiaroadPolicy(PlacementWeights weights, std::vector<std::uint64_t> shardKeys);

    void update(const Observation &observation, Assignment &assignment) const;

private:
    void placeShards(const Observation &observation, Assignment &assignment) const;
    void moveKeys(const Observation &observation, Assignment &assignment) const;

    PlacementWeights weights;
    std::vector<std::uint64_t> shardKeys;
};

/** The version before single keys were moved: shards only. */
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

/** Number of a server from its name "server-N". */
int serverNumber(const std::string &name);

} // namespace cassiaroad::placement
