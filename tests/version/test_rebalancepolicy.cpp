#include "version/rebalancepolicy.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const std::vector<PlacementServer> threeServers {
    { "a", "z1", 6, true, false },
    { "b", "z2", 6, true, false },
    { "c", "z1", 6, true, false },
};

std::vector<PlacementShard> shardsWithLoad(double first, double others)
{
    return { { 0, "a", first, 100 }, { 1, "b", others, 100 }, { 2, "c", others, 100 } };
}

RebalanceMoves rebalance(const std::vector<PlacementShard> &shards,
                         const std::vector<PlacementKey> &keys)
{
    return RebalancePolicy(PlacementWeights {}, 16).rebalance(threeServers, shards, keys);
}

} // namespace

// Guards against moving a complete shard if a single key causes the load.
TEST(RebalancePolicy, movesTheHotKeyAndNotItsShard)
{
    const RebalanceMoves moves
            = rebalance(shardsWithLoad(190, 100), { { "hot", 0, "a", "a", 60, false } });
    ASSERT_EQ(moves.keys.size(), 1U);
    EXPECT_EQ(moves.keys[0].key, "hot");
    EXPECT_NE(moves.keys[0].to, "a");
    EXPECT_FALSE(moves.keys[0].reason.empty());
    EXPECT_TRUE(moves.shards.empty());
}

// Guards against using shard numbers as indices: a region has only some of the shards.
TEST(RebalancePolicy, findsShardsByNumber)
{
    const std::vector<PlacementShard> shards { { 1000, "a", 190, 100 },
                                               { 1002, "b", 100, 100 },
                                               { 1004, "c", 100, 100 } };
    const RebalanceMoves moves = rebalance(shards, { { "hot", 1000, "a", "a", 60, false } });
    ASSERT_EQ(moves.keys.size(), 1U);
    EXPECT_EQ(moves.keys[0].shard, 1000U);
}

// Guards against moves for differences within the noise of the load.
TEST(RebalancePolicy, leavesSmallDifferencesAlone)
{
    EXPECT_EQ(rebalance(shardsWithLoad(105, 100), { { "k", 0, "a", "a", 5, false } }),
              RebalanceMoves {});
}

// Guards against a move that only makes another server the most loaded one.
TEST(RebalancePolicy, movesNothingWhenTheTargetWouldBeAsBusy)
{
    EXPECT_EQ(rebalance(shardsWithLoad(300, 100), { { "k", 0, "a", "a", 290, false } }),
              RebalanceMoves {});
}
