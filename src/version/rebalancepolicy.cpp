#include "version/rebalancepolicy.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>

namespace cassiaroad {

namespace {

// Relative excess of the busiest server over the mean at which balancing starts. Single keys go on
// down to half of it, so that small changes of load do not start it again (hysteresis).
constexpr double keyStartExcess = 0.08;
// Moving a shard changes many owners, so it starts later; scaled by the weights of the user.
constexpr double shardStartExcess = 0.2;
// A move must lower the busiest server's load by at least this share of the mean.
constexpr double minGain = 0.004;
constexpr double coldCapacity = 0.5;
// Share of the table of moved keys above which exceptions of cold keys are ended.
constexpr double tablePressure = 0.75;
// A moved key below this share of the mean server load is cold.
constexpr double coldShare = 0.002;

struct ServerLoad
{
    const PlacementServer *server = nullptr;
    double capacity = 1.0;
    double load = 0.0;

    double relative() const { return this->load / this->capacity; }
};

/** Loads of the accepting servers while moves are chosen. */
class Balance
{
public:
    Balance(const std::vector<PlacementServer> &servers, const std::vector<PlacementShard> &shards,
            const std::vector<PlacementKey> &keys)
    {
        double capacity = 0.0;
        for (const PlacementServer &server : servers) {
            if (server.accepting) {
                const double factor = server.cold ? coldCapacity : 1.0;
                this->loads.emplace(server.name,
                                    ServerLoad { &server, server.capacity * factor, 0.0 });
                capacity += server.capacity * factor;
            }
        }
        double total = 0.0;
        for (const PlacementShard &shard : shards) {
            total += this->add(shard.owner, shard.load);
        }
        for (const PlacementKey &key : keys) {
            total += key.moved ? this->add(key.owner, key.load) : 0.0;
        }
        this->meanLoad = capacity > 0.0 ? total / capacity : 0.0;
    }

    /** Mean load per unit of capacity. */
    double mean() const { return this->meanLoad; }
    bool isUsable() const { return this->loads.size() > 1 && this->meanLoad > 0.0; }

    /** Whether the busiest server exceeds the mean by the relative @p excess. */
    bool isExceeded(double excess)
    {
        return this->busiest().relative() > (1.0 + excess) * this->meanLoad;
    }

    ServerLoad &busiest()
    {
        return std::max_element(this->loads.begin(), this->loads.end(), lessLoaded)->second;
    }

    ServerLoad &idlest()
    {
        return std::min_element(this->loads.begin(), this->loads.end(), lessLoaded)->second;
    }

    ServerLoad *find(const std::string &name)
    {
        const auto it = this->loads.find(name);
        return it == this->loads.end() ? nullptr : &it->second;
    }

    /** Load that should go from @p from to @p to so that neither is further off the mean. */
    double wanted(const ServerLoad &from, const ServerLoad &to) const
    {
        const double excess = from.load - this->meanLoad * from.capacity;
        const double room = this->meanLoad * to.capacity - to.load;
        return std::min(excess, room);
    }

    /** Whether moving @p load lowers the larger of both relative loads. */
    bool isGain(const ServerLoad &from, const ServerLoad &to, double load) const
    {
        const double threshold = minGain * this->meanLoad * from.capacity;
        return load >= threshold
               && (to.load + load) / to.capacity < from.relative() - minGain * this->meanLoad;
    }

private:
    using Loads = std::map<std::string, ServerLoad>;

    static bool lessLoaded(const Loads::value_type &left, const Loads::value_type &right)
    {
        return left.second.relative() < right.second.relative();
    }

    double add(const std::string &owner, double load)
    {
        ServerLoad *server = this->find(owner);
        if (server == nullptr) {
            return 0.0;
        }
        server->load += load;
        return load;
    }

    Loads loads;
    double meanLoad = 0.0;
};

/** Chooses moves one by one on a working copy. */
class Rebalance
{
public:
    Rebalance(const std::vector<PlacementServer> &servers, std::vector<PlacementShard> shards,
              std::vector<PlacementKey> keys)
        : balance(servers, shards, keys)
        , shards(std::move(shards))
        , keys(std::move(keys))
    {
        this->movedKeys = std::count_if(this->keys.begin(), this->keys.end(),
                                        [](const PlacementKey &key) { return key.moved; });
    }

    bool isUsable() const { return this->balance.isUsable(); }
    RebalanceMoves takeMoves() { return std::move(this->moves); }

    void endColdExceptions(std::size_t maxMovedKeys);
    void moveKeys(std::size_t maxMovedKeys);
    void moveShards(double startExcess);

private:
    std::optional<std::size_t> bestKey(const ServerLoad &from, const ServerLoad &to) const;
    std::optional<std::size_t> bestShard(const ServerLoad &from, const ServerLoad &to) const;
    void reduceShard(std::uint32_t shard, double load);
    std::string reason(const ServerLoad &from, const char *subject, double load) const;

    Balance balance;
    std::vector<PlacementShard> shards;
    std::vector<PlacementKey> keys;
    std::size_t movedKeys = 0;
    RebalanceMoves moves;
};

void Rebalance::endColdExceptions(std::size_t maxMovedKeys)
{
    const double limit = tablePressure * static_cast<double>(maxMovedKeys);
    for (PlacementKey &key : this->keys) {
        if (static_cast<double>(this->movedKeys) <= limit) {
            return;
        }
        ServerLoad *home = this->balance.find(key.shardOwner);
        ServerLoad *away = this->balance.find(key.owner);
        if (!key.moved || key.load > coldShare * this->balance.mean() || home == nullptr
            || away == nullptr) {
            continue;
        }
        this->moves.keys.push_back(
                { key.key, key.shard, key.owner, key.shardOwner, "the key has become cold" });
        home->load += key.load;
        away->load -= key.load;
        key.owner = key.shardOwner;
        key.moved = false;
        --this->movedKeys;
    }
}

void Rebalance::moveKeys(std::size_t maxMovedKeys)
{
    if (!this->balance.isExceeded(keyStartExcess)) {
        return;
    }
    for (std::size_t i = 0; i < maxMovedKeys && this->balance.isExceeded(keyStartExcess / 2); ++i) {
        ServerLoad &from = this->balance.busiest();
        ServerLoad &to = this->balance.idlest();
        const std::optional<std::size_t> index = this->bestKey(from, to);
        if (!index || (this->movedKeys >= maxMovedKeys && !this->keys[*index].moved)) {
            return;
        }
        PlacementKey &key = this->keys[*index];
        this->moves.keys.push_back({ key.key, key.shard, key.owner, to.server->name,
                                     this->reason(from, "key", key.load) });
        from.load -= key.load;
        to.load += key.load;
        if (!key.moved) {
            this->reduceShard(key.shard, key.load);
        }
        this->movedKeys -= key.moved ? 1 : 0;
        key.owner = to.server->name;
        key.moved = key.owner != key.shardOwner;
        this->movedKeys += key.moved ? 1 : 0;
    }
}

void Rebalance::reduceShard(std::uint32_t shard, double load)
{
    const auto found = std::find_if(this->shards.begin(), this->shards.end(),
                                    [shard](const auto &item) { return item.shard == shard; });
    if (found != this->shards.end()) {
        found->load -= load;
    }
}

void Rebalance::moveShards(double startExcess)
{
    if (!this->balance.isExceeded(startExcess)) {
        return;
    }
    for (std::size_t i = 0; i < this->shards.size() && this->balance.isExceeded(startExcess / 2);
         ++i) {
        ServerLoad &from = this->balance.busiest();
        ServerLoad &to = this->balance.idlest();
        const std::optional<std::size_t> index = this->bestShard(from, to);
        if (!index) {
            return;
        }
        PlacementShard &shard = this->shards[*index];
        this->moves.shards.push_back({ shard.shard, shard.owner, to.server->name,
                                       this->reason(from, "shard", shard.load) });
        from.load -= shard.load;
        to.load += shard.load;
        shard.owner = to.server->name;
    }
}

/** The key whose load comes closest to what should be moved. */
std::optional<std::size_t> Rebalance::bestKey(const ServerLoad &from, const ServerLoad &to) const
{
    const double wanted = this->balance.wanted(from, to);
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < this->keys.size(); ++i) {
        const PlacementKey &key = this->keys[i];
        if (key.owner != from.server->name || !this->balance.isGain(from, to, key.load)) {
            continue;
        }
        if (!best || std::abs(key.load - wanted) < std::abs(this->keys[*best].load - wanted)) {
            best = i;
        }
    }
    return best;
}

/** The shard with the most load per key, counting no more load than should be moved. */
std::optional<std::size_t> Rebalance::bestShard(const ServerLoad &from, const ServerLoad &to) const
{
    const double wanted = this->balance.wanted(from, to);
    std::optional<std::size_t> best;
    double bestDensity = 0.0;
    for (std::size_t i = 0; i < this->shards.size(); ++i) {
        const PlacementShard &shard = this->shards[i];
        if (shard.owner != from.server->name || !this->balance.isGain(from, to, shard.load)) {
            continue;
        }
        const double density
                = std::min(shard.load, wanted) / (1.0 + static_cast<double>(shard.keys));
        if (density > bestDensity) {
            bestDensity = density;
            best = i;
        }
    }
    return best;
}

std::string Rebalance::reason(const ServerLoad &from, const char *subject, double load) const
{
    char text[200];
    std::snprintf(text, sizeof(text), "load of %.60s is %.0f%% of the mean; the %s draws %.1f/s",
                  from.server->name.c_str(), 100.0 * from.relative() / this->balance.mean(),
                  subject, load);
    return text;
}

} // namespace

RebalancePolicy::RebalancePolicy(PlacementWeights weights, std::size_t maxMovedKeys)
    : weights(weights)
    , maxMovedKeys(maxMovedKeys)
{ }

RebalanceMoves RebalancePolicy::rebalance(const std::vector<PlacementServer> &servers,
                                          const std::vector<PlacementShard> &shards,
                                          const std::vector<PlacementKey> &keys) const
{
    Rebalance rebalance(servers, shards, keys);
    if (!rebalance.isUsable() || this->weights.imbalance <= 0.0) {
        return {};
    }
    rebalance.endColdExceptions(this->maxMovedKeys);
    rebalance.moveKeys(this->maxMovedKeys);
    rebalance.moveShards(shardStartExcess * (this->weights.churn + this->weights.unavailability)
                         / (2 * this->weights.imbalance));
    return rebalance.takeMoves();
}

} // namespace cassiaroad
