#include "cassiaroad/loadcounter.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// Limits of one report: all control traffic of a node may take at most 29 KB/s.
constexpr std::size_t maxReportedShards = 256;
constexpr std::size_t maxReportedKeys = 32;
constexpr std::size_t maxCountedKeys = 4096;

template <typename Ref>
std::vector<std::pair<Ref, std::uint32_t>> takeHighest(std::map<Ref, std::uint32_t> &counts,
                                                       std::size_t limit)
{
    std::vector<std::pair<Ref, std::uint32_t>> all(counts.begin(), counts.end());
    counts.clear();
    std::sort(all.begin(), all.end(),
              [](const auto &left, const auto &right) { return left.second > right.second; });
    all.resize(std::min(all.size(), limit));
    return all;
}

} // namespace

void LoadCounter::count(const ShardRef &shard, const std::string &key)
{
    ++this->shards[shard];
    const KeyRef ref { shard.service, key };
    const auto found = this->keys.find(ref);
    if (found != this->keys.end()) {
        ++found->second;
    } else if (this->keys.size() < maxCountedKeys) {
        this->keys.emplace(ref, 1);
    }
}

std::vector<std::pair<ShardRef, std::uint32_t>> LoadCounter::takeShards()
{
    return takeHighest(this->shards, maxReportedShards);
}

std::vector<std::pair<KeyRef, std::uint32_t>> LoadCounter::takeKeys()
{
    return takeHighest(this->keys, maxReportedKeys);
}

} // namespace cassiaroad
