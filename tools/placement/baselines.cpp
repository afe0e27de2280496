#include "baselines.h"

#include <algorithm>
#include <limits>
#include <numeric>

#include <xxhash.h>

namespace cassiaroad::placement {

namespace {

constexpr std::uint32_t virtualNodes = 100; // points of each server on the ring
constexpr double loadFactor = 1.1; // upper bound of a server's load, relative to the mean
// The greedy baseline moves shards while the busiest server has more than this times the mean load.
constexpr double greedyImbalanceLimit = 1.05;
constexpr int greedyMovesPerUpdate = 50;

std::uint64_t hashOf(std::uint64_t left, std::uint64_t right)
{
    const std::uint64_t pair[2] = { left, right };
    return XXH3_64bits(pair, sizeof(pair));
}

/** Numbers of the servers that accept shards. */
std::vector<int> acceptingServers(const Observation &observation)
{
    std::vector<int> accepting;
    for (std::size_t i = 0; i < observation.servers.size(); ++i) {
        if (observation.servers[i].accepting) {
            accepting.push_back(static_cast<int>(i));
        }
    }
    return accepting;
}

/** Points of the hash ring in ascending order, each with its server. */
std::vector<std::pair<std::uint64_t, int>> ringOf(const std::vector<int> &servers)
{
    std::vector<std::pair<std::uint64_t, int>> ring;
    for (const int server : servers) {
        for (std::uint32_t node = 0; node < virtualNodes; ++node) {
            ring.emplace_back(hashOf(static_cast<std::uint64_t>(server) + 1000, node), server);
        }
    }
    std::sort(ring.begin(), ring.end());
    return ring;
}

} // namespace

void ModuloPolicy::update(const Observation &observation, Assignment &assignment) const
{
    const std::vector<int> accepting = acceptingServers(observation);
    for (std::size_t shard = 0; shard < assignment.shardOwner.size(); ++shard) {
        assignment.shardOwner[shard] = accepting[shard % accepting.size()];
    }
}

void RendezvousPolicy::update(const Observation &observation, Assignment &assignment) const
{
    const std::vector<int> accepting = acceptingServers(observation);
    for (std::size_t shard = 0; shard < assignment.shardOwner.size(); ++shard) {
        assignment.shardOwner[shard]
                = *std::max_element(accepting.begin(), accepting.end(), [&](int a, int b) {
                      return hashOf(a, shard) < hashOf(b, shard);
                  });
    }
}

void BoundedLoadPolicy::update(const Observation &observation, Assignment &assignment) const
{
    const std::vector<int> accepting = acceptingServers(observation);
    const auto ring = ringOf(accepting);
    const std::vector<double> &loads = observation.shardLoad;
    const double total = std::accumulate(loads.begin(), loads.end(), 0.0);
    const double bound = loadFactor * total / static_cast<double>(accepting.size());
    std::vector<double> assignedLoad(observation.servers.size(), 0.0);
    for (std::size_t shard = 0; shard < assignment.shardOwner.size(); ++shard) {
        auto point = std::lower_bound(ring.begin(), ring.end(),
                                      std::pair<std::uint64_t, int>(hashOf(0, shard), 0));
        for (std::size_t tries = 0; tries < ring.size(); ++tries) {
            if (point == ring.end()) {
                point = ring.begin();
            }
            if (assignedLoad[point->second] + loads[shard] <= bound) {
                break;
            }
            ++point;
        }
        const int owner = point == ring.end() ? ring.front().second : point->second;
        assignedLoad[owner] += loads[shard];
        assignment.shardOwner[shard] = owner;
    }
}

void GreedyPolicy::update(const Observation &observation, Assignment &assignment) const
{
    const std::vector<int> accepting = acceptingServers(observation);
    std::vector<double> loads(observation.servers.size(), 0.0);
    const auto leastLoaded = [&] {
        return *std::min_element(accepting.begin(), accepting.end(), [&](int a, int b) {
            return loads[a] / observation.servers[a].capacity
                   < loads[b] / observation.servers[b].capacity;
        });
    };
    std::vector<std::size_t> unowned;
    for (std::size_t shard = 0; shard < assignment.shardOwner.size(); ++shard) {
        const int owner = assignment.shardOwner[shard];
        if (owner == noServer || !observation.servers[owner].accepting) {
            unowned.push_back(shard);
        } else {
            loads[owner] += observation.shardLoad[shard];
        }
    }
    for (const std::size_t shard : unowned) {
        const int target = leastLoaded();
        assignment.shardOwner[shard] = target;
        loads[target] += observation.shardLoad[shard] + 1e-6;
    }
    const double mean = std::accumulate(loads.begin(), loads.end(), 0.0)
                        / static_cast<double>(accepting.size());
    for (int move = 0; move < greedyMovesPerUpdate; ++move) {
        const int busiest = *std::max_element(accepting.begin(), accepting.end(),
                                              [&](int a, int b) { return loads[a] < loads[b]; });
        const int idlest = leastLoaded();
        const double gap = loads[busiest] - loads[idlest];
        if (loads[busiest] <= greedyImbalanceLimit * mean) {
            return;
        }
        std::size_t best = assignment.shardOwner.size();
        for (std::size_t shard = 0; shard < assignment.shardOwner.size(); ++shard) {
            const double load = observation.shardLoad[shard];
            if (assignment.shardOwner[shard] == busiest && load < gap
                && (best == assignment.shardOwner.size() || load > observation.shardLoad[best])) {
                best = shard;
            }
        }
        if (best == assignment.shardOwner.size()) {
            return;
        }
        assignment.shardOwner[best] = idlest;
        loads[busiest] -= observation.shardLoad[best];
        loads[idlest] += observation.shardLoad[best];
    }
}

} // namespace cassiaroad::placement
