#pragma once

#include "assignment.h"

#include <string>

namespace cassiaroad::placement {

/** Shard number modulo the number of accepting servers. */
struct ModuloPolicy
{
    static constexpr const char *name = "modulo";
    void update(const Observation &observation, Assignment &assignment) const;
};

/** Rendezvous hashing: the accepting server with the highest hash of server and shard. */
struct RendezvousPolicy
{
    static constexpr const char *name = "rendezvous";
    void update(const Observation &observation, Assignment &assignment) const;
};

/**
 * Consistent hashing with bounded loads: a ring with virtual nodes; a server takes at most
 * loadFactor times the mean load, the rest goes on along the ring.
 */
struct BoundedLoadPolicy
{
    static constexpr const char *name = "bounded-load";
    void update(const Observation &observation, Assignment &assignment) const;
};

/** Moves the heaviest fitting shard from the busiest to the idlest server while it helps. */
struct GreedyPolicy
{
    static constexpr const char *name = "greedy";
    void update(const Observation &observation, Assignment &assignment) const;
};

} // namespace cassiaroad::placement
