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

// Guards against a lease that lasts longer here than the control group assumes (section 4).
TEST(RouteTableCache, countsTheLeaseFromTheTimeOfTheCall)
{
    RouteTableCache cache;
    EXPECT_FALSE(cache.hasLease({ 0 }));
    cache.apply(delta(0, 5), { 100 }, lease);
    EXPECT_TRUE(cache.hasLease({ 1099 }));
    EXPECT_FALSE(cache.hasLease({ 1100 }));
    cache.apply(delta(5, 5), { 50 }, lease);
    EXPECT_TRUE(cache.hasLease({ 1099 })) << "an earlier call must not shorten the lease";
}

// Guards against applying the reply of a member whose state is outdated (P8).
TEST(RouteTableCache, P8_refusesOlderRevisionsAndTheirLease)
{
    RouteTableCache cache;
    cache.apply(delta(0, 5), { 0 }, lease);
    EXPECT_EQ(cache.apply(delta(0, 4), { 500 }, lease), RouteTableCache::Result::Refused);
    EXPECT_EQ(cache.table()->revision(), 5U);
    EXPECT_FALSE(cache.hasLease({ 1200 }));
    EXPECT_EQ(cache.seenRevision(), 5U);
}

TEST(RouteTableCache, requestsACompleteTableAfterAGap)
{
    RouteTableCache cache;
    EXPECT_EQ(cache.seenRevision(), 0U);
    cache.apply(delta(0, 5), { 0 }, lease);
    EXPECT_EQ(cache.apply(delta(6, 8), { 500 }, lease), RouteTableCache::Result::Refused);
    EXPECT_EQ(cache.seenRevision(), 0U);
    EXPECT_EQ(cache.apply(delta(0, 8), { 600 }, lease), RouteTableCache::Result::Changed);
    EXPECT_EQ(cache.seenRevision(), 8U);
}

RC_GTEST_PROP(RouteTableCache, P8_neverGoesBack, ())
{
    RouteTableCache cache;
    const auto steps = *rc::gen::container<std::vector<std::pair<Revision, Revision>>>(
            rc::gen::pair(rc::gen::inRange<Revision>(0, 10), rc::gen::inRange<Revision>(0, 10)));
    Revision last = 0;
    for (const auto &[from, to] : steps) {
        cache.apply(delta(from, to), { 0 }, lease);
        RC_ASSERT(cache.table()->revision() >= last);
        last = cache.table()->revision();
    }
}
