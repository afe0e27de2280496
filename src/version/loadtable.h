#pragma once

#include "process/clock.h"
#include "version/routetable.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cassiaroad {

/** Smoothed load of shards and keys, from the reports of entry hosts. Not thread-safe. */
class LoadTable
{
public:
    void reset(TimePoint now);
    void addShard(const ShardRef &shard, std::uint32_t requests);
    void addKey(const KeyRef &key, std::uint32_t requests);

    /** Smooths what was added since the last full second; cheap if none has passed. */
    void advance(TimePoint now);

    /** Smoothed requests per second. */
    double shardLoad(const ShardRef &shard) const;
    double keyLoad(const KeyRef &key) const;

    /** The @p limit keys of @p service with the highest load, heaviest first. */
    std::vector<std::pair<KeyRef, double>> heaviestKeys(const std::string &service,
                                                        std::size_t limit) const;

private:
    struct Load
    {
        double smoothed = 0.0;
        std::uint64_t added = 0;
    };
    std::map<ShardRef, Load> shardLoads;
    std::map<KeyRef, Load> keyLoads; // bounded
    TimePoint periodStart;
};

} // namespace cassiaroad
