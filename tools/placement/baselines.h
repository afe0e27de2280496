#pragma once

#include "assignment.h"

#include <string>

namespace cassiaroad::placement {

/** Assigns each shard by its number modulo the number of accepting servers. */
struct ModuloPolicy
{
    static constexpr const char *name = "modulo";
    void update(const Observation &observation, Assignment &assignment) const;
};

/** Rendezvous hashing: assigns each shard to the accepting server with the highest joint hash. */
struct RendezvousPolicy
{
    static constexpr const char *name = "rendezvous";
    void update(const Observation &observation, Assignment &assignment) const;
};

/**
 * Consistent hashing with bounded loads: a hash ring with virtual nodes. A server is assigned at
 * most loadFactor times the mean load; a shard beyond that goes to the next server on the ring.
 */
struct BoundedLoadPolicy
{
    static constexpr const char *name = "bounded-load";
    void update(const Observation &observation, Assignment &assignment) const;
};

/**
 * Repeatedly moves the heaviest shard that reduces the imbalance from the busiest to the least
 * loaded server.
 */
struct GreedyPolicy
{
    static constexpr const char *name = "greedy";
    void update(const Observation &observation, Assignment &assignment) const;
};

} // namespace cassiaroad::placement
