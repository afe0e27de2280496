#pragma once

#include "version/routetable.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cassiaroad {

/**
 * Counts requests per shard and per key since the previous report. The number of counted keys is
 * limited. Not thread-safe.
 */
class LoadCounter
{
public:
    /** Counts a request. A new key is not counted once the limit of counted keys is reached. */
    void count(const ShardRef &shard, const std::string &key);

    /**
     * Returns the shards with the most requests, up to a fixed number, and resets all shard
     * counts.
     */
    std::vector<std::pair<ShardRef, std::uint32_t>> takeShards();

    /** Returns the keys with the most requests, up to a fixed number, and resets all key counts. */
    std::vector<std::pair<KeyRef, std::uint32_t>> takeKeys();

private:
    std::map<ShardRef, std::uint32_t> shards;
    std::map<KeyRef, std::uint32_t> keys;
};

} // namespace cassiaroad
