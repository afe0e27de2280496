#include "version/crashledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

constexpr RequestDigest deadly = 7;
const TimePoint start { 1000000 };

CrashSighting sighting(std::int64_t upstream, RequestDigest request = deadly)
{
    return { request, { "i-" + std::to_string(upstream), 1 }, {} };
}

/** Returns a ledger with crashes of @p count upstreams under the deadly request. */
CrashLedger ledgerOf(std::int64_t count)
{
    CrashLedger ledger;
    for (std::int64_t i = 0; i < count; ++i) {
        ledger.record(sighting(i), start);
    }
    return ledger;
}

} // namespace

// Guards against a request that goes on to a fourth upstream.
TEST(CrashLedger, blocksARequestAfterThreeUpstreamsHaveCrashed)
{
    EXPECT_FALSE(ledgerOf(2).isBlocked(deadly));
    EXPECT_TRUE(ledgerOf(3).isBlocked(deadly));
    EXPECT_FALSE(ledgerOf(3).isBlocked(deadly + 1));
}

// Guards against a request that is blocked since one upstream has broken several connections.
TEST(CrashLedger, countsEachUpstreamOnce)
{
    CrashLedger ledger;
    for (int i = 0; i < 5; ++i) {
        ledger.record(sighting(1), start);
    }
    EXPECT_EQ(ledger.crashCount(deadly), 1U);
}

// Guards against a request that stays suspected although an upstream has answered it.
TEST(CrashLedger, beginsAnewAfterAnAnswer)
{
    CrashLedger ledger = ledgerOf(2);
    EXPECT_TRUE(ledger.clear(deadly, start));
    EXPECT_FALSE(ledger.clear(deadly, start));
    ledger.record(sighting(5), start);
    EXPECT_EQ(ledger.crashCount(deadly), 1U);
}

// Guards against a list for all gateways that grows with each crash: the requests that an upstream
// takes along are not told of, until a second upstream crashes under one of them.
TEST(CrashLedger, sharesOnlyRequestsWithSeveralCrashesOrAnAnswer)
{
    CrashLedger ledger = ledgerOf(1);
    EXPECT_TRUE(ledger.suspects(start).empty());
    ledger.record(sighting(1), start);
    ASSERT_EQ(ledger.suspects(start).size(), 1U);
    EXPECT_EQ(ledger.suspects(start)[0].upstreams.size(), 2U);
    ledger.clear(deadly, start);
    ASSERT_EQ(ledger.suspects(start).size(), 1U);
    EXPECT_TRUE(ledger.suspects(start)[0].upstreams.empty());
}

// Guards against requests that stay blocked for ever since hosts tell each other of them anew.
TEST(CrashLedger, forgetsARequestThoughHostsExchangeIt)
{
    CrashLedger leader = ledgerOf(3);
    CrashLedger gateway;
    TimePoint now = start;
    for (int second = 0; second < 1200; ++second) {
        now = now + Milliseconds { 1000 };
        leader.expire(now);
        gateway.expire(now);
        gateway.merge(leader.suspects(now), now);
        for (const CrashSighting &crash : gateway.unknownTo(leader.suspects(now), now)) {
            leader.record(crash, now);
        }
    }
    EXPECT_FALSE(leader.isBlocked(deadly));
    EXPECT_FALSE(gateway.isBlocked(deadly));
}

// Guards against a new leader that learns from no gateway what the previous leader knew.
TEST(CrashLedger, tellsANewLeaderWhatItDoesNotKnow)
{
    const CrashLedger gateway = ledgerOf(3);
    CrashLedger leader;
    for (const CrashSighting &crash : gateway.unknownTo(leader.suspects(start), start)) {
        leader.record(crash, start);
    }
    EXPECT_TRUE(leader.isBlocked(deadly));
    EXPECT_TRUE(gateway.unknownTo(leader.suspects(start), start).empty());
}

// Guards against memory that grows with the crashes, and against losing the requests with the most
// crashes when the ledger is full.
TEST(CrashLedger, keepsTheWorstRequestsWhenItIsFull)
{
    CrashLedger ledger = ledgerOf(2);
    for (RequestDigest request = 100; request < 10000; ++request) {
        ledger.record(sighting(50, request), start);
    }
    EXPECT_EQ(ledger.crashCount(deadly), 2U);
    EXPECT_EQ(ledger.crashCount(100), 0U);
    EXPECT_EQ(ledger.crashCount(9999), 1U);
}

// Guards against gateways that come to different results from the same crashes in another order.
RC_GTEST_PROP(CrashLedger, blocksTheSameRequestsInAnyOrderOfReports, ())
{
    auto crashes = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 6)));
    CrashLedger first;
    for (const auto &[request, upstream] : crashes) {
        first.record(sighting(upstream, static_cast<RequestDigest>(request)), start);
    }
    std::reverse(crashes.begin(), crashes.end());
    CrashLedger second;
    for (const auto &[request, upstream] : crashes) {
        second.record(sighting(upstream, static_cast<RequestDigest>(request)), start);
    }
    for (RequestDigest request = 0; request < 5; ++request) {
        RC_ASSERT(first.isBlocked(request) == second.isBlocked(request));
    }
}
