#pragma once

#include "assignment.h"

#include <random>

namespace cassiaroad::placement {

/**
 * Plans all moves of an update as a whole by simulated annealing, after Zheng et al., "Exploring
 * Plan-Based Scheduling for Large-Scale Computing Systems", section IV. Starts from the greedy
 * placement of unserved shards and searches owners of shards and heavy keys.
 */
class AnnealingPolicy
{
public:
    static constexpr const char *name = "annealing";

    AnnealingPolicy(PlacementWeights weights, std::vector<std::uint64_t> shardKeys);

    void update(const Observation &observation, Assignment &assignment) const;

private:
    PlacementWeights weights;
    std::vector<std::uint64_t> shardKeys;
};

} // namespace cassiaroad::placement
