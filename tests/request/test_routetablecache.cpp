#include "request/routetablecache.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

RouteDelta delta(Revision from, Revision to)
{
    RouteDelta result;
    result.fromRevision = from;
    result.toRevision = to;
    return result;
}

constexpr Milliseconds lease { 1000 };

} // namespace

// Guards against a lease that outlives the control group's view of it (section 4).
TEST(RouteTableCache, countsTheLeaseFromTheMomentOfSending)
{
    RouteTableCache follower;
    EXPECT_FALSE(follower.hasLease({ 0 }));
    follower.apply(delta(0, 5), { 100 }, lease);
    EXPECT_TRUE(follower.hasLease({ 1099 }));
    EXPECT_FALSE(follower.hasLease({ 1100 }));
    follower.apply(delta(5, 5), { 50 }, lease);
    EXPECT_TRUE(follower.hasLease({ 1099 })) << "an earlier call must not shorten the lease";
}

// Guards against a member that is behind (P8).
TEST(RouteTableCache, P8_refusesOlderRevisionsAndTheirLease)
{
    RouteTableCache follower;
    follower.apply(delta(0, 5), { 0 }, lease);
    EXPECT_EQ(follower.apply(delta(0, 4), { 500 }, lease), RouteTableCache::Result::Refused);
    EXPECT_EQ(follower.table()->revision(), 5U);
    EXPECT_FALSE(follower.hasLease({ 1200 }));
    EXPECT_EQ(follower.seenRevision(), 5U);
}

TEST(RouteTableCache, asksForACompleteTableAfterAGap)
{
    RouteTableCache follower;
    EXPECT_EQ(follower.seenRevision(), 0U);
    follower.apply(delta(0, 5), { 0 }, lease);
    EXPECT_EQ(follower.apply(delta(6, 8), { 500 }, lease), RouteTableCache::Result::Refused);
    EXPECT_EQ(follower.seenRevision(), 0U);
    EXPECT_EQ(follower.apply(delta(0, 8), { 600 }, lease), RouteTableCache::Result::Changed);
    EXPECT_EQ(follower.seenRevision(), 8U);
}

RC_GTEST_PROP(RouteTableCache, P8_neverGoesBack, ())
{
    RouteTableCache follower;
    const auto steps = *rc::gen::container<std::vector<std::pair<Revision, Revision>>>(
            rc::gen::pair(rc::gen::inRange<Revision>(0, 10), rc::gen::inRange<Revision>(0, 10)));
    Revision last = 0;
    for (const auto &[from, to] : steps) {
        follower.apply(delta(from, to), { 0 }, lease);
        RC_ASSERT(follower.table()->revision() >= last);
        last = follower.table()->revision();
    }
}
