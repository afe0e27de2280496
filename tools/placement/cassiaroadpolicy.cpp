#include "cassiaroadpolicy.h"

#include <utility>

namespace cassiaroad::placement {

namespace {

// Upper bound of the keys that may be assigned apart from their shard.
constexpr std::size_t maxMovedKeys = 1024;

std::string serverName(int server)
{
    return server == noServer ? std::string() : "server-" + std::to_string(server);
}

std::vector<PlacementShard> describeShards(const Observation &observation,
                                           const Assignment &assignment,
                                           const std::vector<std::uint64_t> &shardKeys)
{
    std::vector<PlacementShard> shards;
    for (std::uint32_t shard = 0; shard < assignment.shardOwner.size(); ++shard) {
        shards.push_back({ shard, serverName(assignment.shardOwner[shard]),
                           observation.shardLoad[shard], shardKeys[shard] });
    }
    return shards;
}

void applyMoves(const std::vector<PlacementMove> &moves, Assignment &assignment)
{
    for (const PlacementMove &move : moves) {
        assignment.shardOwner[move.shard] = serverNumber(move.to);
    }
}

} // namespace

int serverNumber(const std::string &name)
{
    return name.empty() ? noServer : std::stoi(name.substr(name.find('-') + 1));
}

CassiaroadPolicy::CassiaroadPolicy(PlacementWeights weights, std::vector<std::uint64_t> shardKeys)
    : weights(weights)
    , shardKeys(std::move(shardKeys))
{ }

void CassiaroadPolicy::update(const Observation &observation, Assignment &assignment) const
{
    this->placeUnownedShards(observation, assignment);
    this->rebalance(observation, assignment);
}

void CassiaroadPolicy::placeUnownedShards(const Observation &observation,
                                          Assignment &assignment) const
{
    const PlacementPolicy policy(this->weights);
    applyMoves(policy.placeUnownedShards(observation.servers,
                                         describeShards(observation, assignment, this->shardKeys)),
               assignment);
}

void CassiaroadPolicy::rebalance(const Observation &observation, Assignment &assignment) const
{
    std::vector<PlacementKey> keys;
    for (std::size_t i = 0; i < observation.hotKeys.size(); ++i) {
        const std::uint32_t key = observation.hotKeys[i].key;
        const std::uint32_t shard = observation.hotKeyShards[i];
        const auto moved = assignment.movedKeys.find(key);
        keys.push_back({ std::to_string(key), shard, serverName(assignment.ownerOf(key, shard)),
                         serverName(assignment.shardOwner[shard]), observation.hotKeys[i].load,
                         moved != assignment.movedKeys.end() });
    }
    const RebalancePolicy policy(this->weights, maxMovedKeys);
    const auto shards = describeShards(observation, assignment, this->shardKeys);
    const RebalanceMoves moves = policy.rebalance(observation.servers, shards, keys);
    for (const PlacementKeyMove &move : moves.keys) {
        const auto key = static_cast<std::uint32_t>(std::stoul(move.key));
        const int target = serverNumber(move.to);
        if (target == assignment.shardOwner[move.shard]) {
            assignment.movedKeys.erase(key);
        } else {
            assignment.movedKeys[key] = target;
        }
    }
    applyMoves(moves.shards, assignment);
}

ShardsOnlyPolicy::ShardsOnlyPolicy(PlacementWeights weights, std::vector<std::uint64_t> shardKeys)
    : weights(weights)
    , shardKeys(std::move(shardKeys))
{ }

void ShardsOnlyPolicy::update(const Observation &observation, Assignment &assignment) const
{
    const PlacementPolicy policy(this->weights);
    applyMoves(policy.rebalance(observation.servers,
                                describeShards(observation, assignment, this->shardKeys)),
               assignment);
}

} // namespace cassiaroad::placement
