#pragma once

#include "version/routetable.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cassiaroad {

/** Requests per shard and per key since the previous report, bounded in size. */
class LoadCounter
{
public:
    void count(const ShardRef &shard, const std::string &key);

    /** Returns the shards with the most requests, at most a fixed number, and forgets all. */
    std::vector<std::pair<ShardRef, std::uint32_t>> takeShards();

    /** Returns the keys with the most requests, at most a fixed number, and forgets all. */
    std::vector<std::pair<KeyRef, std::uint32_t>> takeKeys();

private:
    std::map<ShardRef, std::uint32_t> shards;
    std::map<KeyRef, std::uint32_t> keys;
};

} // namespace cassiaroad
