#pragma once

#include "workload.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cassiaroad::placement {

// In place of a server's number: no server owns the shard.
constexpr int noServer = -1;

/** Owners of the shards, and of single keys that were moved away from the owner of their shard. */
struct Assignment
{
    std::vector<int> shardOwner; // number of a server, by shard
    std::map<std::uint32_t, int> movedKeys; // number of a server, by key

    bool operator==(const Assignment &) const = default;

    /** Returns the server that owns @p key of @p shard, or noServer. */
    int ownerOf(std::uint32_t key, std::uint32_t shard) const
    {
        const auto moved = this->movedKeys.find(key);
        return moved != this->movedKeys.end() ? moved->second : this->shardOwner[shard];
    }
};

/** Input of a policy: the servers, and the loads smoothed over several steps. */
struct Observation
{
    double time = 0.0;
    std::vector<PlacementServer> servers;
    std::vector<double> shardLoad; // smoothed; includes its heavy keys, but not moved keys
    std::vector<HotKey> hotKeys; // smoothed; ascending order of key numbers
    std::vector<std::uint32_t> hotKeyShards; // shard of each entry of hotKeys
};

/** Result of one policy over a workload. */
struct Score
{
    double imbalanceMean = 0.0; // mean over time of the highest utilization / mean one
    double imbalanceP99 = 0.0; // 99th percentile over time of the same ratio
    std::uint64_t keysMoved = 0; // keys that changed owner, with their shard or alone
    std::uint64_t shardMoves = 0;
    std::uint64_t keyMoves = 0; // moves of single keys
    double lossKeySeconds = 0.0; // keys x seconds that keys were unreachable after losses
    double plannedKeySeconds = 0.0; // keys x seconds that requests waited during planned moves
    double policySeconds = 0.0; // processor time of the policy

    bool operator==(const Score &) const = default;
};

} // namespace cassiaroad::placement
