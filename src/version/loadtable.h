#pragma once

#include "process/clock.h"
#include "version/routetable.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cassiaroad {

/** Smoothed load of shards and keys, summed over the reports of entry hosts. Not thread-safe. */
class LoadTable
{
public:
    /** Forgets all loads. */
    void reset(TimePoint now);

    /** Adds requests that an entry host reported. */
    void addShard(const ShardRef &shard, std::uint32_t requests);
    void addKey(const KeyRef &key, std::uint32_t requests);

    /** Smooths the requests of each full second that has passed; does nothing within a second. */
    void advance(TimePoint now);

    /** Returns the smoothed load in requests per second. */
    double shardLoad(const ShardRef &shard) const;
    double keyLoad(const KeyRef &key) const;

    /** Returns at most @p limit keys of @p service with the highest load, highest first. */
    std::vector<std::pair<KeyRef, double>> heaviestKeys(const std::string &service,
                                                        std::size_t limit) const;

private:
    struct Load
    {
        double smoothed = 0.0; // requests per second
        std::uint64_t added = 0; // requests since the last full second
    };
    std::map<ShardRef, Load> shardLoads;
    std::map<KeyRef, Load> keyLoads; // of a limited number of keys
    TimePoint periodStart;
};

} // namespace cassiaroad
