#include "version/rebalancepolicy.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>

namespace cassiaroad {

namespace {

// Relative excess of the most loaded server over the mean at which keys start to move. They move
// until the excess is half of it, so that small changes of load do not start it again
// (hysteresis).
constexpr double keyStartExcess = 0.08;
// Excess at which shards start to move. It is higher since a shard changes the owner of many keys.
// The weights of the user scale it.
constexpr double shardStartExcess = 0.2;
// A move must lower the load of the most loaded server by at least this share of the mean.
constexpr double minGain = 0.004;
// Share of its capacity that a server which joined recently is taken to have.
constexpr double coldCapacityFactor = 0.5;
// Share of the table of moved keys above which cold keys return to the owners of their shards.
constexpr double maxTableOccupancy = 0.75;
// A moved key is cold if its load is at most this share of the mean server load.
constexpr double coldLoadShare = 0.002;

/** An accepting server with the load of its shards and moved keys. */
struct ServerLoad
{
    const PlacementServer *server = nullptr;
    double capacity = 1.0;
    double load = 0.0;

    /** Load per unit of capacity. */
    double relative() const { return this->load / this->capacity; }
};

/** Loads of the accepting servers, updated while moves are chosen. */
class ServerLoads
{
public:
    ServerLoads(const std::vector<PlacementServer> &servers,
                const std::vector<PlacementShard> &shards, const std::vector<PlacementKey> &keys)
    {
        double capacity = 0.0;
        for (const PlacementServer &server : servers) {
            if (server.accepting) {
                const double factor = server.cold ? coldCapacityFactor : 1.0;
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

    /** Whether there is a load and more than one server to spread it over. */
    bool canRebalance() const { return this->loads.size() > 1 && this->meanLoad > 0.0; }

    /** Whether the most loaded server exceeds the mean by the relative @p excess. */
    bool exceedsMeanBy(double excess)
    {
        return this->mostLoaded().relative() > (1.0 + excess) * this->meanLoad;
    }

    ServerLoad &mostLoaded()
    {
        return std::max_element(this->loads.begin(), this->loads.end(), lessLoaded)->second;
    }

    ServerLoad &leastLoaded()
    {
        return std::min_element(this->loads.begin(), this->loads.end(), lessLoaded)->second;
    }

    ServerLoad *find(const std::string &name)
    {
        const auto it = this->loads.find(name);
        return it == this->loads.end() ? nullptr : &it->second;
    }

    /** Load to move from @p from to @p to that takes neither of them beyond the mean. */
    double loadToMove(const ServerLoad &from, const ServerLoad &to) const
    {
        const double excess = from.load - this->meanLoad * from.capacity;
        const double spareCapacity = this->meanLoad * to.capacity - to.load;
        return std::min(excess, spareCapacity);
    }

    /**
     * Whether moving @p load lowers the larger of both relative loads by more than the minimum
     * gain.
     */
    bool isBeneficial(const ServerLoad &from, const ServerLoad &to, double load) const
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

    /** Adds @p load to its owner; returns the load added, 0 if the owner does not accept. */
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

/** Chooses moves one after the other on a working copy of the placement. */
class MoveSelector
{
public:
    MoveSelector(const std::vector<PlacementServer> &servers, std::vector<PlacementShard> shards,
                 std::vector<PlacementKey> keys)
        : serverLoads(servers, shards, keys)
        , shards(std::move(shards))
        , keys(std::move(keys))
    {
        this->movedKeys = std::count_if(this->keys.begin(), this->keys.end(),
                                        [](const PlacementKey &key) { return key.moved; });
    }

    bool canRebalance() const { return this->serverLoads.canRebalance(); }
    RebalanceMoves takeMoves() { return std::move(this->moves); }

    /** Returns cold moved keys to the owners of their shards while the table is nearly full. */
    void returnColdKeys(std::size_t maxMovedKeys);

    /** Moves single keys while the most loaded server exceeds the mean too far. */
    void moveKeys(std::size_t maxMovedKeys);

    /** Moves shards if the most loaded server exceeds the mean by the relative @p startExcess. */
    void moveShards(double startExcess);

private:
    std::optional<std::size_t> bestKey(const ServerLoad &from, const ServerLoad &to) const;
    std::optional<std::size_t> bestShard(const ServerLoad &from, const ServerLoad &to) const;
    void reduceShardLoad(std::uint32_t shard, double load);
    std::string reason(const ServerLoad &from, const char *subject, double load) const;

    ServerLoads serverLoads;
    std::vector<PlacementShard> shards;
    std::vector<PlacementKey> keys;
    std::size_t movedKeys = 0;
    RebalanceMoves moves;
};

void MoveSelector::returnColdKeys(std::size_t maxMovedKeys)
{
    const double limit = maxTableOccupancy * static_cast<double>(maxMovedKeys);
    for (PlacementKey &key : this->keys) {
        if (static_cast<double>(this->movedKeys) <= limit) {
            return;
        }
        ServerLoad *home = this->serverLoads.find(key.shardOwner);
        ServerLoad *away = this->serverLoads.find(key.owner);
        if (!key.moved || key.load > coldLoadShare * this->serverLoads.mean() || home == nullptr
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

void MoveSelector::moveKeys(std::size_t maxMovedKeys)
{
    if (!this->serverLoads.exceedsMeanBy(keyStartExcess)) {
        return;
    }
    for (std::size_t i = 0; i < maxMovedKeys && this->serverLoads.exceedsMeanBy(keyStartExcess / 2);
         ++i) {
        ServerLoad &from = this->serverLoads.mostLoaded();
        ServerLoad &to = this->serverLoads.leastLoaded();
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
            this->reduceShardLoad(key.shard, key.load);
        }
        this->movedKeys -= key.moved ? 1 : 0;
        key.owner = to.server->name;
        key.moved = key.owner != key.shardOwner;
        this->movedKeys += key.moved ? 1 : 0;
    }
}

void MoveSelector::reduceShardLoad(std::uint32_t shard, double load)
{
    const auto found = std::find_if(this->shards.begin(), this->shards.end(),
                                    [shard](const auto &item) { return item.shard == shard; });
    if (found != this->shards.end()) {
        found->load -= load;
    }
}

void MoveSelector::moveShards(double startExcess)
{
    if (!this->serverLoads.exceedsMeanBy(startExcess)) {
        return;
    }
    for (std::size_t i = 0;
         i < this->shards.size() && this->serverLoads.exceedsMeanBy(startExcess / 2); ++i) {
        ServerLoad &from = this->serverLoads.mostLoaded();
        ServerLoad &to = this->serverLoads.leastLoaded();
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

/** Returns the index of the key whose load is closest to the load that should be moved. */
std::optional<std::size_t> MoveSelector::bestKey(const ServerLoad &from, const ServerLoad &to) const
{
    const double loadToMove = this->serverLoads.loadToMove(from, to);
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < this->keys.size(); ++i) {
        const PlacementKey &key = this->keys[i];
        if (key.owner != from.server->name || !this->serverLoads.isBeneficial(from, to, key.load)) {
            continue;
        }
        if (!best
            || std::abs(key.load - loadToMove) < std::abs(this->keys[*best].load - loadToMove)) {
            best = i;
        }
    }
    return best;
}

/**
 * Returns the index of the shard with the most load per key. Load beyond what should be moved does
 * not count.
 */
std::optional<std::size_t> MoveSelector::bestShard(const ServerLoad &from,
                                                   const ServerLoad &to) const
{
    const double loadToMove = this->serverLoads.loadToMove(from, to);
    std::optional<std::size_t> best;
    double bestLoadPerKey = 0.0;
    for (std::size_t i = 0; i < this->shards.size(); ++i) {
        const PlacementShard &shard = this->shards[i];
        if (shard.owner != from.server->name
            || !this->serverLoads.isBeneficial(from, to, shard.load)) {
            continue;
        }
        const double loadPerKey
                = std::min(shard.load, loadToMove) / (1.0 + static_cast<double>(shard.keys));
        if (loadPerKey > bestLoadPerKey) {
            bestLoadPerKey = loadPerKey;
            best = i;
        }
    }
    return best;
}

std::string MoveSelector::reason(const ServerLoad &from, const char *subject, double load) const
{
    char text[200];
    std::snprintf(text, sizeof(text), "load of %.60s is %.0f%% of the mean; the %s draws %.1f/s",
                  from.server->name.c_str(), 100.0 * from.relative() / this->serverLoads.mean(),
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
    MoveSelector rebalance(servers, shards, keys);
    if (!rebalance.canRebalance() || this->weights.imbalance <= 0.0) {
        return {};
    }
    rebalance.returnColdKeys(this->maxMovedKeys);
    rebalance.moveKeys(this->maxMovedKeys);
    rebalance.moveShards(shardStartExcess * (this->weights.churn + this->weights.unavailability)
                         / (2 * this->weights.imbalance));
    return rebalance.takeMoves();
}

} // namespace cassiaroad
