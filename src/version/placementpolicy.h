#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cassiaroad {

/** An upstream as the placement and rebalance policies see it. */
struct PlacementServer
{
    std::string name;
    std::string zone;
    double capacity = 1.0; // relative, for example slots; above 0
    bool accepting = true; // can be assigned shards
    bool cold = false; // joined recently; counts with a lower capacity

    bool operator==(const PlacementServer &) const = default;
};

/** A shard as the placement and rebalance policies see it. */
struct PlacementShard
{
    std::uint32_t shard = 0;
    std::string owner; // empty: none
    double load = 0.0; // smoothed requests per second
    std::uint64_t keys = 0; // keys in use, or an estimate

    bool operator==(const PlacementShard &) const = default;
};

/** Weights that the user assigns to imbalance, to moved keys and to unreachable time. */
struct PlacementWeights
{
    double imbalance = 1.0;
    double churn = 1.0;
    double unavailability = 1.0;

    bool operator==(const PlacementWeights &) const = default;
};

/** Change of owner of one shard, with the reason as a text for operators. */
struct PlacementMove
{
    std::uint32_t shard = 0;
    std::string from; // empty: none
    std::string to; // empty: no server accepts it
    std::string reason;

    bool operator==(const PlacementMove &) const = default;
};

/**
 * Decides owners of the shards of one service. A pure function of its arguments; equal arguments
 * give equal results in any order of servers and shards. Thread-safe.
 */
class PlacementPolicy
{
public:
    explicit PlacementPolicy(PlacementWeights weights);

    /** Returns moves for just the shards without an owner or whose owner does not accept shards. */
    std::vector<PlacementMove> placeUnownedShards(const std::vector<PlacementServer> &servers,
                                                  const std::vector<PlacementShard> &shards) const;

    /**
     * Like placeUnownedShards(), and then moves shards between accepting servers where the gain in
     * balance outweighs the cost of the move.
     */
    std::vector<PlacementMove> rebalance(const std::vector<PlacementServer> &servers,
                                         const std::vector<PlacementShard> &shards) const;

private:
    PlacementWeights weights;
};

} // namespace cassiaroad
