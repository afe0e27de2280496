#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cassiaroad {

/** A server as the policy sees it. */
struct PlacementServer
{
    std::string name;
    std::string zone;
    double capacity = 1.0; // relative, for example slots; above 0
    bool accepting = true; // may be given shards
    bool cold = false; // joined recently

    bool operator==(const PlacementServer &) const = default;
};

/** A shard as the policy sees it. */
struct PlacementShard
{
    std::uint32_t shard = 0;
    std::string owner; // empty: none
    double load = 0.0; // smoothed requests per second
    std::uint64_t keys = 0; // keys in use, or an estimate

    bool operator==(const PlacementShard &) const = default;
};

/** Weights of the user: how bad imbalance, moved keys and unreachable time are. */
struct PlacementWeights
{
    double imbalance = 1.0;
    double churn = 1.0;
    double unavailability = 1.0;

    bool operator==(const PlacementWeights &) const = default;
};

/** One change of owner with its reason in words. */
struct PlacementMove
{
    std::uint32_t shard = 0;
    std::string from; // empty: none
    std::string to; // empty: no server accepts shards
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

    /** Moves only the shards whose owner is missing or does not accept shards. */
    std::vector<PlacementMove> placeUnownedShards(const std::vector<PlacementServer> &servers,
                                                  const std::vector<PlacementShard> &shards) const;

    /** As placeUnownedShards, and then moves shards between accepting servers where the gain pays.
     */
    std::vector<PlacementMove> rebalance(const std::vector<PlacementServer> &servers,
                                         const std::vector<PlacementShard> &shards) const;

private:
    PlacementWeights weights;
};

} // namespace cassiaroad
