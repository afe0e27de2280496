#include "version/placementpolicy.h"

#include <algorithm>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

std::vector<PlacementShard> shardsOf(const std::string &owner, std::uint32_t first,
                                     std::uint32_t count, double load)
{
    std::vector<PlacementShard> shards;
    for (std::uint32_t i = first; i < first + count; ++i) {
        shards.push_back({ i, owner, load, 10 });
    }
    return shards;
}

} // namespace

// Guards against first assignments that concentrate on one server or in one zone.
TEST(PlacementPolicy, spreadsUnownedShardsByCapacityAndZone)
{
    const std::vector<PlacementServer> servers { { "s1", "a", 6 },
                                                 { "s2", "a", 6 },
                                                 { "s3", "b", 12 } };
    std::map<std::string, int> counts;
    for (const auto &move :
         PlacementPolicy({}).placeUnownedShards(servers, shardsOf("", 0, 40, 0))) {
        EXPECT_FALSE(move.reason.empty());
        ++counts[move.to];
    }
    EXPECT_EQ(counts["s1"], 10);
    EXPECT_EQ(counts["s2"], 10);
    EXPECT_EQ(counts["s3"], 20);
}

// Guards against moves that gain less than they cost: an almost balanced placement does not change.
TEST(PlacementPolicy, leavesSmallDifferencesAlone)
{
    const std::vector<PlacementServer> servers { { "s1", "a", 6 }, { "s2", "b", 6 } };
    auto shards = shardsOf("s1", 0, 21, 1.0);
    const auto rest = shardsOf("s2", 21, 20, 1.0);
    shards.insert(shards.end(), rest.begin(), rest.end());
    EXPECT_TRUE(PlacementPolicy({}).rebalance(servers, shards).empty());
}

// Guards against a churn weight without effect: with a higher weight, fewer keys move.
TEST(PlacementPolicy, movesLessWhenChurnCostsMore)
{
    const std::vector<PlacementServer> servers { { "s1", "a", 6 }, { "s2", "b", 6 } };
    const auto shards = shardsOf("s1", 0, 40, 1.0);
    const auto lowCost = PlacementPolicy({ 1, 1, 1 }).rebalance(servers, shards);
    const auto expensive = PlacementPolicy({ 1, 30, 1 }).rebalance(servers, shards);
    EXPECT_GE(lowCost.size(), 17U);
    EXPECT_LE(lowCost.size(), 20U);
    EXPECT_LT(expensive.size(), lowCost.size());
}

// Guards against shards that move to a server that does not accept them, that move twice, or whose
// moves depend on the order of the arguments.
RC_GTEST_PROP(PlacementPolicy, movesOnlyToAcceptingServers, ())
{
    const auto count = *rc::gen::inRange(0, 6);
    std::vector<PlacementServer> servers;
    std::set<std::string> accepting;
    for (int i = 0; i < count; ++i) {
        const std::string name = "s" + std::to_string(i);
        servers.push_back({ name, *rc::gen::element<std::string>("a", "b"),
                            *rc::gen::inRange(1, 9) * 1.0, *rc::gen::arbitrary<bool>(),
                            *rc::gen::arbitrary<bool>() });
        if (servers.back().accepting) {
            accepting.insert(name);
        }
    }
    std::vector<PlacementShard> shards;
    for (std::uint32_t i = 0; i < 16; ++i) {
        shards.push_back({ i, *rc::gen::element<std::string>("", "s0", "s1", "s2", "gone"),
                           *rc::gen::inRange(0, 50) * 1.0, 1 });
    }
    const auto moves = PlacementPolicy({}).rebalance(servers, shards);
    std::set<std::uint32_t> moved;
    for (const PlacementMove &move : moves) {
        RC_ASSERT(accepting.contains(move.to) || (accepting.empty() && move.to.empty()));
        RC_ASSERT(move.from == shards[move.shard].owner);
        RC_ASSERT(moved.insert(move.shard).second);
    }
    for (const PlacementShard &shard : shards) {
        RC_ASSERT(accepting.contains(shard.owner) || moved.contains(shard.shard));
    }
    std::reverse(servers.begin(), servers.end());
    std::reverse(shards.begin(), shards.end());
    RC_ASSERT(PlacementPolicy({}).rebalance(servers, shards) == moves);
}
