#pragma once

#include "workload.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cassiaroad::placement {

constexpr int noServer = -1;

/** Owners of shards and of keys that were moved on their own; servers are numbered. */
struct Assignment
{
    std::vector<int> shardOwner;
    std::map<std::uint32_t, int> movedKeys;

    bool operator==(const Assignment &) const = default;

    /** Returns the server that owns @p key of @p shard, or noServer. */
    int ownerOf(std::uint32_t key, std::uint32_t shard) const
    {
        const auto moved = this->movedKeys.find(key);
        return moved != this->movedKeys.end() ? moved->second : this->shardOwner[shard];
    }
};

/** What a policy sees: loads smoothed over several steps. */
struct Observation
{
    double time = 0.0;
    std::vector<PlacementServer> servers;
    std::vector<double> shardLoad; // smoothed; with its heavy keys, without moved keys
    std::vector<HotKey> hotKeys; // smoothed; ascending order of key numbers
    std::vector<std::uint32_t> hotKeyShards; // per entry of hotKeys
};

/** Figures of one policy over a workload. */
struct Score
{
    double imbalanceMean = 0.0; // mean over time of the busiest server's load / mean load
    double imbalanceP99 = 0.0;
    std::uint64_t keysMoved = 0;
    std::uint64_t shardMoves = 0;
    std::uint64_t keyMoves = 0; // moves of single keys
    double lossKeySeconds = 0.0; // keys x seconds unreachable after losses
    double plannedKeySeconds = 0.0; // keys x seconds that requests waited in planned moves
    double policySeconds = 0.0; // processor time

    bool operator==(const Score &) const = default;
};

} // namespace cassiaroad::placement
