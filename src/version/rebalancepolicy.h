#pragma once

#include "version/placementpolicy.h"

#include <string>
#include <vector>

namespace cassiaroad {

/** A key whose load is known on its own. */
struct PlacementKey
{
    std::string key;
    std::uint32_t shard = 0;
    std::string owner; // of the key if it was moved, otherwise of its shard
    std::string shardOwner;
    double load = 0.0; // smoothed requests per second
    bool moved = false; // has an owner apart from its shard

    bool operator==(const PlacementKey &) const = default;
};

/** Change of owner of one key; to equal to the shard's owner ends the exception. */
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
 * Lowers the load of the busiest servers at the least number of keys that change owner: single
 * heavy keys first (one key each), then shards with the most load per key. A pure function of its
 * arguments. Thread-safe.
 */
class RebalancePolicy
{
public:
    /** @p maxMovedKeys bounds the table of moved keys. */
    RebalancePolicy(PlacementWeights weights, std::size_t maxMovedKeys);

    /**
     * Returns moves that bring the busiest accepting servers closer to the mean load. @p shards
     * carry the load of their keys except moved ones. Shards without an accepting owner are left
     * alone (PlacementPolicy::placeUnownedShards).
     */
    RebalanceMoves rebalance(const std::vector<PlacementServer> &servers,
                             const std::vector<PlacementShard> &shards,
                             const std::vector<PlacementKey> &keys) const;

private:
    PlacementWeights weights;
    std::size_t maxMovedKeys;
};

} // namespace cassiaroad
