#pragma once

#include "version/placementpolicy.h"

#include <string>
#include <vector>

namespace cassiaroad {

/** A key whose load is measured separately from its shard. */
struct PlacementKey
{
    std::string key;
    std::uint32_t shard = 0;
    std::string owner; // of the key if it is a moved key, otherwise of its shard
    std::string shardOwner;
    double load = 0.0; // smoothed requests per second
    bool moved = false; // the key has a route of its own, apart from its shard

    bool operator==(const PlacementKey &) const = default;
};

/** Change of owner of one key. If `to` is the owner of its shard, it ceases to be a moved key. */
struct PlacementKeyMove
{
    std::string key;
    std::uint32_t shard = 0;
    std::string from;
    std::string to;
    std::string reason;

    bool operator==(const PlacementKeyMove &) const = default;
};

/** Moves that a rebalance proposes. */
struct RebalanceMoves
{
    std::vector<PlacementMove> shards;
    std::vector<PlacementKeyMove> keys;

    bool operator==(const RebalanceMoves &) const = default;
};

/**
 * Chooses moves that lower the load of the most loaded servers while few keys change owner: first
 * single keys with high load (one key per move), then shards with the most load per key. A pure
 * function of its arguments. Thread-safe.
 */
class RebalancePolicy
{
public:
    /** @p maxMovedKeys is the capacity of the table of moved keys. */
    RebalancePolicy(PlacementWeights weights, std::size_t maxMovedKeys);

    /**
     * Returns moves that bring the most loaded accepting servers closer to the mean load. The load
     * of each of @p shards excludes that of its moved keys. Shards without an accepting owner do
     * not move; PlacementPolicy::placeUnownedShards() places them.
     */
    RebalanceMoves rebalance(const std::vector<PlacementServer> &servers,
                             const std::vector<PlacementShard> &shards,
                             const std::vector<PlacementKey> &keys) const;

private:
    PlacementWeights weights;
    std::size_t maxMovedKeys;
};

} // namespace cassiaroad
