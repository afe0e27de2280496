#include "version/keyplacementpolicy.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <optional>

namespace cassiaroad {

namespace {

// Relative excess over the mean at which balancing starts; it goes on down to half of it, so that
// small changes of load do not start it again (hysteresis).
constexpr double startExcess = 0.08;
// A move must lower the busiest server's relative load by at least this share of the mean.
constexpr double minGain = 0.004;
// Share of the table of moved keys above which cold exceptions are ended.
constexpr double tablePressure = 0.75;
// A moved key below this share of the mean server load is cold.
constexpr double coldShare = 0.002;

struct ServerLoad
{
    const PlacementServer *server = nullptr;
    double load = 0.0;

    double relative() const { return this->load / this->server->capacity; }
};

std::string describe(const PlacementKey &key, const ServerLoad &from, double mean)
{
    char text[200];
    std::snprintf(text, sizeof(text), "%s carries %.2f times the mean load; key draws %.1f/s",
                  from.server->name.c_str(), from.relative() / mean, key.load);
    return text;
}

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
                this->loads.emplace(server.name, ServerLoad { &server, 0.0 });
                capacity += server.capacity;
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

/** Returns the index of the key that best fills the gap between two servers. */
std::optional<std::size_t> bestKey(const std::vector<PlacementKey> &keys, const ServerLoad &from,
                                   const ServerLoad &to, double mean)
{
    const double excess = from.load - mean * from.server->capacity;
    const double room = mean * to.server->capacity - to.load;
    const double wanted = std::min(excess, room);
    std::optional<std::size_t> best;
    double bestDistance = 0.0;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        if (keys[i].owner != from.server->name || keys[i].load < minGain * mean) {
            continue;
        }
        const double after = (to.load + keys[i].load) / to.server->capacity;
        if (after > from.relative() - minGain * mean) {
            continue;
        }
        const double distance = std::abs(keys[i].load - wanted);
        if (!best || distance < bestDistance) {
            best = i;
            bestDistance = distance;
        }
    }
    return best;
}

/** Ends exceptions of cold keys while the table is nearly full. */
void endColdExceptions(std::vector<PlacementKey> &keys, Balance &balance, std::size_t maxMovedKeys,
                       std::vector<PlacementKeyMove> &moves)
{
    auto moved = std::count_if(keys.begin(), keys.end(), [](const auto &key) { return key.moved; });
    for (PlacementKey &key : keys) {
        if (static_cast<double>(moved) <= tablePressure * static_cast<double>(maxMovedKeys)) {
            return;
        }
        ServerLoad *home = balance.find(key.shardOwner);
        if (!key.moved || key.load > coldShare * balance.mean() || home == nullptr) {
            continue;
        }
        moves.push_back({ key.key, key.shard, key.owner, key.shardOwner, "key has become cold" });
        key.owner = key.shardOwner;
        key.moved = false;
        home->load += key.load;
        --moved;
    }
}

} // namespace

KeyPlacementPolicy::KeyPlacementPolicy(PlacementWeights weights, std::size_t maxMovedKeys)
    : weights(weights)
    , maxMovedKeys(maxMovedKeys)
{ }

std::vector<PlacementKeyMove> KeyPlacementPolicy::rebalance(
        const std::vector<PlacementServer> &servers, const std::vector<PlacementShard> &shards,
        const std::vector<PlacementKey> &keys) const
{
    std::vector<PlacementKeyMove> moves;
    Balance balance(servers, shards, keys);
    if (!balance.isUsable() || this->weights.imbalance <= 0.0) {
        return moves;
    }
    std::vector<PlacementKey> current = keys;
    endColdExceptions(current, balance, this->maxMovedKeys, moves);
    std::size_t moved = std::count_if(current.begin(), current.end(),
                                      [](const auto &key) { return key.moved; });
    if (balance.busiest().relative() <= (1.0 + startExcess) * balance.mean()) {
        return moves;
    }
    while (moves.size() < this->maxMovedKeys
           && balance.busiest().relative() > (1.0 + startExcess / 2) * balance.mean()) {
        ServerLoad &from = balance.busiest();
        ServerLoad &to = balance.idlest();
        const std::optional<std::size_t> index = bestKey(current, from, to, balance.mean());
        if (!index || (moved >= this->maxMovedKeys && !current[*index].moved)) {
            break;
        }
        PlacementKey &key = current[*index];
        moves.push_back({ key.key, key.shard, key.owner, to.server->name,
                          describe(key, from, balance.mean()) });
        from.load -= key.load;
        to.load += key.load;
        moved += key.moved ? 0 : 1;
        key.owner = to.server->name;
        key.moved = key.owner != key.shardOwner;
    }
    return moves;
}

} // namespace cassiaroad
