#include "version/placementpolicy.h"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <map>
#include <numeric>
#include <optional>

namespace cassiaroad {

namespace {

// Weight of a shard without load, as a share of the mean load of a shard.
constexpr double idleShardWeight = 0.05;
// Share of its capacity that a server which joined recently is taken to have.
constexpr double coldCapacityFactor = 0.5;
// How much the utilization of a zone counts against its servers when an owner is chosen.
constexpr double zoneUtilizationWeight = 0.1;
// Difference of two utilizations, relative to the mean, below which no shard moves.
constexpr double minDifference = 0.1;
// Cost of moving everything, relative to complete imbalance.
constexpr double moveCost = 0.1;

/** An accepting server with the weights of its shards. */
struct ServerLoad
{
    const PlacementServer *server = nullptr;
    double capacity = 1.0;
    double load = 0.0;
    std::vector<std::size_t> shards; // indices into Placement::shards

    double utilization() const { return this->load / this->capacity; }
};

/** Working copy of the placement of one service, on which moves are chosen. */
class Placement
{
public:
    Placement(const std::vector<PlacementServer> &servers, std::vector<PlacementShard> shardList);

    std::vector<PlacementMove> takeMoves() { return std::move(this->moves); }
    void placeUnownedShards();

    /**
     * Moves the shard with the highest gain from the most utilized server that has such a shard to
     * the least utilized server. Returns whether a shard was moved.
     */
    bool moveOne(const PlacementWeights &weights);

private:
    void computeWeights();
    ServerLoad *leastLoaded(double weight);
    double zoneUtilization(const std::string &zone) const;
    std::string unownedReason(const std::string &owner) const;
    double meanUtilization() const;
    bool moveFrom(ServerLoad &source, ServerLoad &target, const PlacementWeights &weights);
    double gain(const ServerLoad &source, const ServerLoad &target, std::size_t index,
                const PlacementWeights &weights) const;

    std::map<std::string, const PlacementServer *> known; // all servers by name
    std::map<std::string, ServerLoad> accepting; // the accepting ones by name
    std::vector<PlacementShard> shards; // ordered by number
    std::vector<double> weightOf; // by index: load plus a floor for shards without load
    std::vector<bool> moved; // by index; no shard moves twice
    double totalWeight = 0.0;
    double totalKeys = 0.0;
    std::vector<PlacementMove> moves;
};

Placement::Placement(const std::vector<PlacementServer> &servers,
                     std::vector<PlacementShard> shardList)
    : shards(std::move(shardList))
{
    std::sort(this->shards.begin(), this->shards.end(),
              [](const auto &a, const auto &b) { return a.shard < b.shard; });
    for (const PlacementServer &server : servers) {
        this->known.emplace(server.name, &server);
        if (server.accepting) {
            const double factor = server.cold ? coldCapacityFactor : 1.0;
            this->accepting.emplace(server.name,
                                    ServerLoad { &server, server.capacity * factor, 0.0, {} });
        }
    }
    this->computeWeights();
}

void Placement::computeWeights()
{
    double load = 0.0;
    for (const PlacementShard &shard : this->shards) {
        load += shard.load;
        this->totalKeys += static_cast<double>(shard.keys);
    }
    const double mean
            = this->shards.empty() ? 0.0 : load / static_cast<double>(this->shards.size());
    const double floor = mean > 0.0 ? mean * idleShardWeight : 1.0;
    this->moved.assign(this->shards.size(), false);
    for (std::size_t i = 0; i < this->shards.size(); ++i) {
        this->weightOf.push_back(this->shards[i].load + floor);
        this->totalWeight += this->weightOf[i];
        const auto owner = this->accepting.find(this->shards[i].owner);
        if (owner != this->accepting.end()) {
            owner->second.load += this->weightOf[i];
            owner->second.shards.push_back(i);
        }
    }
}

double Placement::zoneUtilization(const std::string &zone) const
{
    double load = 0.0;
    double capacity = 0.0;
    for (const auto &[name, server] : this->accepting) {
        if (server.server->zone == zone) {
            load += server.load;
            capacity += server.capacity;
        }
    }
    return load / capacity;
}

ServerLoad *Placement::leastLoaded(double weight)
{
    std::map<std::string, double> zones;
    ServerLoad *best = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    for (auto &[name, server] : this->accepting) {
        const auto zone = zones.find(server.server->zone);
        const double zoneLoad = zone != zones.end()
                                        ? zone->second
                                        : zones.emplace(server.server->zone,
                                                        this->zoneUtilization(server.server->zone))
                                                  .first->second;
        const double score
                = (server.load + weight) / server.capacity + zoneUtilizationWeight * zoneLoad;
        if (score < bestScore) {
            bestScore = score;
            best = &server;
        }
    }
    return best;
}

std::string Placement::unownedReason(const std::string &owner) const
{
    if (owner.empty()) {
        return "has no owner";
    }
    return "its owner " + owner
           + (this->known.contains(owner) ? " does not accept shards" : " is gone");
}

void Placement::placeUnownedShards()
{
    std::vector<std::size_t> unownedShards;
    for (std::size_t i = 0; i < this->shards.size(); ++i) {
        if (!this->accepting.contains(this->shards[i].owner)) {
            unownedShards.push_back(i);
        }
    }
    std::stable_sort(
            unownedShards.begin(), unownedShards.end(),
            [this](std::size_t a, std::size_t b) { return this->weightOf[a] > this->weightOf[b]; });
    for (const std::size_t i : unownedShards) {
        const std::string reason = this->unownedReason(this->shards[i].owner);
        ServerLoad *target = this->leastLoaded(this->weightOf[i]);
        if (target == nullptr) {
            this->moves.push_back({ this->shards[i].shard, this->shards[i].owner, "",
                                    reason + "; no server accepts shards" });
            continue;
        }
        this->moves.push_back({ this->shards[i].shard, this->shards[i].owner, target->server->name,
                                reason + "; " + target->server->name + " is the least loaded" });
        target->load += this->weightOf[i];
        target->shards.push_back(i);
        this->moved[i] = true;
    }
}

double Placement::meanUtilization() const
{
    double capacity = 0.0;
    double load = 0.0;
    for (const auto &[name, server] : this->accepting) {
        capacity += server.capacity;
        load += server.load;
    }
    return load / capacity;
}

// Returns how much a move lowers the sum of load * load / capacity, relative to that sum over all
// servers at equal utilization, minus the cost of the move.
double Placement::gain(const ServerLoad &source, const ServerLoad &target, std::size_t index,
                       const PlacementWeights &weights) const
{
    const auto square = [](double load, double capacity) { return load * load / capacity; };
    const double weight = this->weightOf[index];
    const double before
            = square(source.load, source.capacity) + square(target.load, target.capacity);
    const double after = square(source.load - weight, source.capacity)
                         + square(target.load + weight, target.capacity);
    const double mean = this->meanUtilization();
    const double balancedSum = mean * this->totalWeight;
    const double keyShare = this->totalKeys > 0.0 ? static_cast<double>(this->shards[index].keys)
                                                            / this->totalKeys
                                                  : 1.0 / static_cast<double>(this->shards.size());
    const double cost
            = moveCost
              * (weights.churn * keyShare + weights.unavailability * weight / this->totalWeight);
    return weights.imbalance * (before - after) / balancedSum - cost;
}

bool Placement::moveFrom(ServerLoad &source, ServerLoad &target, const PlacementWeights &weights)
{
    std::optional<std::size_t> best;
    double bestGain = 0.0;
    for (std::size_t position = 0; position < source.shards.size(); ++position) {
        const std::size_t index = source.shards[position];
        const double value = this->moved[index] ? 0.0 : this->gain(source, target, index, weights);
        if (value > bestGain) {
            bestGain = value;
            best = position;
        }
    }
    if (!best) {
        return false;
    }
    const std::size_t index = source.shards[*best];
    const double mean = this->meanUtilization();
    char reason[160];
    std::snprintf(reason, sizeof(reason), "load of %.40s is %.0f%% of the mean, of %.40s %.0f%%",
                  source.server->name.c_str(), 100.0 * source.utilization() / mean,
                  target.server->name.c_str(), 100.0 * target.utilization() / mean);
    this->moves.push_back(
            { this->shards[index].shard, source.server->name, target.server->name, reason });
    this->moved[index] = true;
    source.load -= this->weightOf[index];
    target.load += this->weightOf[index];
    source.shards.erase(source.shards.begin() + static_cast<std::ptrdiff_t>(*best));
    target.shards.push_back(index);
    return true;
}

bool Placement::moveOne(const PlacementWeights &weights)
{
    std::vector<ServerLoad *> order;
    for (auto &[name, server] : this->accepting) {
        order.push_back(&server);
    }
    if (order.size() < 2) {
        return false;
    }
    std::stable_sort(order.begin(), order.end(), [](const ServerLoad *a, const ServerLoad *b) {
        return a->utilization() > b->utilization();
    });
    ServerLoad &target = *order.back();
    order.pop_back();
    for (ServerLoad *source : order) {
        const double difference = source->utilization() - target.utilization();
        if (difference <= minDifference * this->meanUtilization()) {
            return false;
        }
        if (this->moveFrom(*source, target, weights)) {
            return true;
        }
    }
    return false;
}

} // namespace

PlacementPolicy::PlacementPolicy(PlacementWeights weights)
    : weights(weights)
{ }

std::vector<PlacementMove> PlacementPolicy::placeUnownedShards(
        const std::vector<PlacementServer> &servers,
        const std::vector<PlacementShard> &shards) const
{
    Placement placement(servers, shards);
    placement.placeUnownedShards();
    return placement.takeMoves();
}

std::vector<PlacementMove> PlacementPolicy::rebalance(
        const std::vector<PlacementServer> &servers,
        const std::vector<PlacementShard> &shards) const
{
    Placement placement(servers, shards);
    placement.placeUnownedShards();
    for (std::size_t i = 0; i < shards.size() && placement.moveOne(this->weights); ++i) { }
    return placement.takeMoves();
}

} // namespace cassiaroad
