#include "request/draintracker.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const ServiceSettings service { "orders", 16 };

Target target(std::uint32_t shard, const std::string &key)
{
    return { &service, key, shard, 0 };
}

RouteTable table(Revision revision, std::uint32_t shard, const Route &route)
{
    RouteDelta delta;
    delta.toRevision = revision;
    delta.upstreams.push_back(
            { { "orders", "o1" }, "etela-a", "127.0.0.1:1", 6, 120, true, "i1", false });
    delta.upstreams.push_back(
            { { "orders", "o2" }, "etela-a", "127.0.0.1:2", 6, 120, true, "i2", false });
    delta.shards = { { { "orders", shard }, route } };
    return *RouteTable().apply(delta);
}

class DrainTrackerTest : public testing::Test
{
protected:
    const std::string key = "k";
    const std::uint32_t shard = shardOfKey("k", 16);
    const Owner owner { { "orders", "o1" }, "127.0.0.1:1", 1, false, this->shard };
    DrainTracker drains;
};

} // namespace

// Guards against a new owner that starts while the previous one still runs a request (P1, P7).
TEST_F(DrainTrackerTest, isNotDrainedWhileThePreviousOwnerRunsARequest)
{
    this->drains.start(1, target(this->shard, this->key), this->owner);
    EXPECT_TRUE(this->drains.update(table(5, this->shard, { RouteState::Owned, "o1", 1 })).empty());
    EXPECT_EQ(this->drains.drainedRevision(5), 5U);
    EXPECT_TRUE(this->drains
                        .update(table(6, this->shard,
                                      { RouteState::Releasing, "o1", 1, MoveReason::Planned }))
                        .empty());
    this->drains.update(
            table(7, this->shard, { RouteState::Releasing, "o1", 1, MoveReason::Planned }));
    EXPECT_EQ(this->drains.drainedRevision(7), 5U);
    this->drains.finish(1);
    EXPECT_EQ(this->drains.drainedRevision(7), 7U);
}

TEST_F(DrainTrackerTest, returnsRequestsOfAnUnavailableOwner)
{
    this->drains.start(1, target(this->shard, this->key), this->owner);
    EXPECT_EQ(this->drains.update(
                      table(6, this->shard, { RouteState::Releasing, "o1", 1, MoveReason::Loss })),
              std::vector<RequestId> { 1 });
}

// Guards against missing a change of owner because its revision was skipped.
TEST_F(DrainTrackerTest, detectsAChangeOfOwnerInASkippedRevision)
{
    this->drains.start(1, target(this->shard, this->key), this->owner);
    this->drains.update(table(8, this->shard, { RouteState::Owned, "o2", 2 }));
    EXPECT_EQ(this->drains.drainedRevision(8), 7U);
    DrainTracker laterTracker;
    laterTracker.start(1, target(this->shard, this->key), this->owner);
    laterTracker.update(table(9, this->shard, { RouteState::Owned, "o1", 3 }));
    EXPECT_EQ(laterTracker.drainedRevision(9), 8U) << "owned again, at a later epoch";
}
