#include "annealingpolicy.h"

#include "cassiaroadpolicy.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cassiaroad::placement {

namespace {

// The number of tries keeps the processor time close to that of CassiaroadPolicy.
constexpr int tries = 4000;
constexpr double firstTemperature = 0.001;
constexpr double lastTemperature = 0.00001;
constexpr double startExcess = 0.08;
constexpr double movedKeysFactor = 4.0; // cost of moving every key, in units of imbalance
constexpr std::uint64_t seed = 20261204;

/** Something with an owner: a shard without its heavy keys, or a heavy key. */
struct Item
{
    int owner = noServer;
    int original = noServer;
    double load = 0.0;
    double keys = 0.0; // 0 for shards that have to move anyway
};

/** One search over the owners of all items. */
class Search
{
public:
    Search(const Observation &observation, std::vector<Item> items, double churnWeight)
        : items(std::move(items))
        , loads(observation.servers.size(), 0.0)
        , random(seed)
    {
        double capacity = 0.0;
        for (std::size_t i = 0; i < observation.servers.size(); ++i) {
            this->capacities.push_back(observation.servers[i].capacity);
            if (observation.servers[i].accepting) {
                this->accepting.push_back(static_cast<int>(i));
                capacity += this->capacities[i];
            }
        }
        double total = 0.0;
        double keys = 0.0;
        for (const Item &item : this->items) {
            this->loads[item.owner] += item.load;
            total += item.load;
            keys += item.keys;
        }
        this->mean = std::max(total / capacity, 1e-9);
        this->keyCost = churnWeight * movedKeysFactor / std::max(keys, 1.0);
    }

    double imbalance() const
    {
        double busiest = 0.0;
        for (const int server : this->accepting) {
            busiest = std::max(busiest, this->loads[server] / this->capacities[server]);
        }
        return busiest / this->mean - 1.0;
    }

    void run()
    {
        const double cooling = std::pow(lastTemperature / firstTemperature, 1.0 / tries);
        double temperature = firstTemperature;
        double cost = this->imbalance();
        std::uniform_int_distribution<std::size_t> item(0, this->items.size() - 1);
        std::uniform_int_distribution<std::size_t> server(0, this->accepting.size() - 1);
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        for (int i = 0; i < tries; ++i, temperature *= cooling) {
            Item &chosen = this->items[item(this->random)];
            const int before = chosen.owner;
            const int after = this->accepting[server(this->random)];
            const double keysBefore = this->movedCost;
            this->move(chosen, after);
            const double next = this->imbalance() + this->movedCost;
            if (next <= cost || chance(this->random) < std::exp((cost - next) / temperature)) {
                cost = next;
            } else {
                this->move(chosen, before);
                this->movedCost = keysBefore;
            }
        }
    }

    const std::vector<Item> &result() const { return this->items; }

private:
    void move(Item &item, int to)
    {
        const double wasMoved = item.owner != item.original ? item.keys : 0.0;
        const double isMoved = to != item.original ? item.keys : 0.0;
        this->movedCost += this->keyCost * (isMoved - wasMoved);
        this->loads[item.owner] -= item.load;
        this->loads[to] += item.load;
        item.owner = to;
    }

    std::vector<Item> items;
    std::vector<double> loads;
    std::vector<double> capacities;
    std::vector<int> accepting;
    std::mt19937_64 random;
    double mean = 0.0;
    double keyCost = 0.0;
    double movedCost = 0.0;
};

std::vector<Item> itemsOf(const Observation &observation, const Assignment &before,
                          const Assignment &placed, const std::vector<std::uint64_t> &shardKeys)
{
    std::vector<Item> items;
    for (std::size_t shard = 0; shard < placed.shardOwner.size(); ++shard) {
        const bool forced = before.shardOwner[shard] != placed.shardOwner[shard];
        items.push_back({ placed.shardOwner[shard], placed.shardOwner[shard],
                          observation.shardLoad[shard],
                          forced ? 0.0 : static_cast<double>(shardKeys[shard]) });
    }
    for (std::size_t i = 0; i < observation.hotKeys.size(); ++i) {
        const std::uint32_t shard = observation.hotKeyShards[i];
        const int owner = placed.ownerOf(observation.hotKeys[i].key, shard);
        if (!placed.movedKeys.contains(observation.hotKeys[i].key)) {
            items[shard].load = std::max(0.0, items[shard].load - observation.hotKeys[i].load);
        }
        items.push_back({ owner, owner, observation.hotKeys[i].load, 1.0 });
    }
    return items;
}

} // namespace

AnnealingPolicy::AnnealingPolicy(PlacementWeights weights, std::vector<std::uint64_t> shardKeys)
    : weights(weights)
    , shardKeys(std::move(shardKeys))
{ }

void AnnealingPolicy::update(const Observation &observation, Assignment &assignment) const
{
    const Assignment before = assignment;
    placeUnserved(observation, this->weights, this->shardKeys, assignment);
    Search search(observation, itemsOf(observation, before, assignment, this->shardKeys),
                  this->weights.churn);
    if (search.imbalance() <= startExcess && before == assignment) {
        return;
    }
    search.run();
    const std::vector<Item> &items = search.result();
    const std::size_t shards = assignment.shardOwner.size();
    for (std::size_t shard = 0; shard < shards; ++shard) {
        assignment.shardOwner[shard] = items[shard].owner;
    }
    for (std::size_t i = 0; i < observation.hotKeys.size(); ++i) {
        const int owner = items[shards + i].owner;
        if (owner == assignment.shardOwner[observation.hotKeyShards[i]]) {
            assignment.movedKeys.erase(observation.hotKeys[i].key);
        } else {
            assignment.movedKeys[observation.hotKeys[i].key] = owner;
        }
    }
}

} // namespace cassiaroad::placement
