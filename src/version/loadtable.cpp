#include "version/loadtable.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds smoothingInterval { 1000 };
constexpr double smoothingFactor = 0.2; // weight of the latest second
constexpr double minTrackedLoad = 0.01; // requests per second; loads below are dropped
constexpr std::size_t maxKeys = 4096;

void smooth(auto &loads)
{
    for (auto &[ref, load] : loads) {
        load.smoothed += smoothingFactor * (static_cast<double>(load.added) - load.smoothed);
        load.added = 0;
    }
    std::erase_if(loads, [](const auto &item) { return item.second.smoothed < minTrackedLoad; });
}

} // namespace

void LoadTable::reset(TimePoint now)
{
    this->shardLoads.clear();
    this->keyLoads.clear();
    this->periodStart = now;
}

void LoadTable::addShard(const ShardRef &shard, std::uint32_t requests)
{
    this->shardLoads[shard].added += requests;
}

void LoadTable::addKey(const KeyRef &key, std::uint32_t requests)
{
    if (this->keyLoads.size() < maxKeys || this->keyLoads.contains(key)) {
        this->keyLoads[key].added += requests;
    }
}

void LoadTable::advance(TimePoint now)
{
    while (now - this->periodStart >= smoothingInterval) {
        smooth(this->shardLoads);
        smooth(this->keyLoads);
        this->periodStart = this->periodStart + smoothingInterval;
        if (this->shardLoads.empty() && this->keyLoads.empty()) {
            this->periodStart = std::max(this->periodStart, now - smoothingInterval);
        }
    }
}

double LoadTable::shardLoad(const ShardRef &shard) const
{
    const auto found = this->shardLoads.find(shard);
    return found == this->shardLoads.end() ? 0.0 : found->second.smoothed;
}

double LoadTable::keyLoad(const KeyRef &key) const
{
    const auto found = this->keyLoads.find(key);
    return found == this->keyLoads.end() ? 0.0 : found->second.smoothed;
}

std::vector<std::pair<KeyRef, double>> LoadTable::heaviestKeys(const std::string &service,
                                                               std::size_t limit) const
{
    std::vector<std::pair<KeyRef, double>> keys;
    const auto first = this->keyLoads.lower_bound({ service, "" });
    for (auto it = first; it != this->keyLoads.end() && it->first.service == service; ++it) {
        keys.emplace_back(it->first, it->second.smoothed);
    }
    std::stable_sort(keys.begin(), keys.end(),
                     [](const auto &a, const auto &b) { return a.second > b.second; });
    keys.resize(std::min(keys.size(), limit));
    return keys;
}

} // namespace cassiaroad
