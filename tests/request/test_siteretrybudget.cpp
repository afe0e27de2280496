#include "request/siteretrybudget.h"

#include "version/sitewatch.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

constexpr Milliseconds window { 10000 };

// Lets the leader tell @p budget the number of gateways every second, from so long ago that it may
// use its part now.
void joinLongAgo(SiteRetryBudget &budget, std::uint32_t gateways, TimePoint now)
{
    constexpr Milliseconds interval { 1000 };
    const TimePoint first = now - gatewayCountLease - window;
    for (TimePoint at = first; at <= now; at = at + interval) {
        budget.setGateways(gateways, at);
    }
}

// Takes retries until the budget denies one; returns their number.
int takeAll(SiteRetryBudget &budget, TimePoint now)
{
    int taken = 0;
    while (budget.take(now)) {
        ++taken;
    }
    return taken;
}

struct RetryCounts
{
    int requests = 0;
    int retries = 0;
};

// Counts requests at an even rate from 0 to @p end. Those from @p faultAt on fail, and each is
// retried once if @p budget allows it. Returns the number of these requests and of their retries.
RetryCounts failFrom(SiteRetryBudget &budget, TimePoint faultAt, TimePoint end)
{
    constexpr Milliseconds interval { 10 };
    RetryCounts counts;
    for (TimePoint now; now < end; now = now + interval) {
        budget.countRequest(now);
        if (now >= faultAt) {
            ++counts.requests;
            counts.retries += budget.take(now) ? 1 : 0;
        }
    }
    return counts;
}

} // namespace

// Guards against exceeding the limit of the site: in no window may all gateways together send more
// retries than the share of the requests and the fixed number.
RC_GTEST_PROP(SiteRetryBudget, staysWithinTheLimitInEveryWindow, ())
{
    SiteRetryBudget budget(0.2, 60.0, window);
    const auto gateways = *rc::gen::inRange(1, 12);
    std::vector<std::pair<std::int64_t, bool>> events; // time, whether a retry
    std::int64_t now = 1000000;
    joinLongAgo(budget, static_cast<std::uint32_t>(gateways), { now });
    const auto count = *rc::gen::inRange(1, 400);
    for (int i = 0; i < count; ++i) {
        now += *rc::gen::inRange(0, 200);
        budget.setGateways(static_cast<std::uint32_t>(gateways), { now });
        if (*rc::gen::inRange(0, 3) == 0) {
            budget.countRequest({ now });
            events.emplace_back(now, false);
        } else if (budget.take({ now })) {
            events.emplace_back(now, true);
        }
    }
    for (const auto &[end, last] : events) {
        double requests = 0.0;
        double retries = 0.0;
        for (const auto &[at, isRetry] : events) {
            const bool inWindow = at <= end && at > end - window.count;
            // The limit counts the requests of the window and of the one before it.
            requests += !isRetry && at <= end && at > end - 2 * window.count ? 1.0 : 0.0;
            retries += isRetry && inWindow ? 1.0 : 0.0;
        }
        RC_ASSERT(retries <= 0.2 * requests + 60.0 / gateways);
    }
}

// Guards against a gateway that cannot retry any request after a quiet period.
TEST(SiteRetryBudget, allowsAFewRetriesWithoutRequests)
{
    constexpr TimePoint now { 21000 };
    SiteRetryBudget budget(0.2, 60.0, window);
    joinLongAgo(budget, 10, now);
    EXPECT_EQ(takeAll(budget, now), 4);
    const TimePoint later = now + Milliseconds { 11000 };
    budget.setGateways(10, later);
    EXPECT_TRUE(budget.take(later));
}

// Guards against gateways that are restarted again and again and get a new fixed number each time:
// together they retried more than is allowed.
TEST(SiteRetryBudget, staysWithinTheLimitWhenItsProcessIsRestarted)
{
    constexpr Milliseconds interval { 1500 }; // between two restarts
    constexpr int restarts = 6;
    TimePoint now { 100000 };
    SiteRetryBudget first(0.2, 60.0, window);
    joinLongAgo(first, 1, now);
    int taken = takeAll(first, now);
    for (int i = 0; i < restarts; ++i) {
        SiteRetryBudget next(0.2, 60.0, window);
        next.setGateways(1, now);
        now = now + interval;
        taken += takeAll(next, now);
    }
    EXPECT_LE(taken, 60);
}

// Guards against a gateway that never gets its fixed number after a restart.
TEST(SiteRetryBudget, allowsAFewRetriesOneLeaseAndOneWindowAfterTheStart)
{
    constexpr TimePoint start { 5000 };
    const TimePoint end = start + gatewayCountLease + window;
    SiteRetryBudget budget(0.2, 60.0, window);
    for (TimePoint at = start; at <= end; at = at + Milliseconds { 1000 }) {
        budget.setGateways(1, at);
    }
    EXPECT_EQ(takeAll(budget, end - Milliseconds { 1 }), 0);
    EXPECT_GT(takeAll(budget, end), 0);
}

// Guards against a gateway that returns after a long cut and uses its part at once, while others
// may still use those of a smaller number.
TEST(SiteRetryBudget, joinsAgainWhenTheLeaderMayHaveCeasedToCountIt)
{
    constexpr TimePoint cutAt { 100000 };
    const TimePoint returnedAt = cutAt + gatewayCountLease + window;
    SiteRetryBudget budget(0.2, 60.0, window);
    joinLongAgo(budget, 1, cutAt);
    budget.setGateways(1, returnedAt);
    EXPECT_EQ(takeAll(budget, returnedAt), 0);
    joinLongAgo(budget, 1, returnedAt + gatewayCountLease + window);
    EXPECT_GT(takeAll(budget, returnedAt + gatewayCountLease + window), 0);
}

// Guards against a gateway that goes on using its part of the fixed number after the leader has
// stopped counting it, and has given its part to the others.
TEST(SiteRetryBudget, usesNoFixedNumberAfterItsPartHasExpired)
{
    constexpr TimePoint validUntil { 50000 };
    SiteRetryBudget budget(0.2, 60.0, window);
    joinLongAgo(budget, 10, validUntil - gatewayCountLease);
    EXPECT_TRUE(budget.take(validUntil - Milliseconds { 1 }));
    EXPECT_FALSE(budget.take(validUntil));
    for (int i = 0; i < 30; ++i) {
        budget.countRequest(validUntil);
    }
    EXPECT_EQ(takeAll(budget, validUntil), 1); // the share of the requests is its own
}

// Guards against a limit for restarted processes that also takes retries from one that goes on: in
// a long fault it may use the usable part of the share of all requests.
TEST(SiteRetryBudget, retriesByTheWholeShareInALongFault)
{
    SiteRetryBudget budget(0.2, 0.0, window);
    const RetryCounts counts = failFrom(budget, { 40000 }, { 100000 });
    EXPECT_GE(counts.retries, 0.15 * counts.requests);
}

// Guards against a gateway that retries nothing at the beginning of a fault: it may use half of the
// usable part of what the requests of the last window allow at once.
TEST(SiteRetryBudget, retriesAtOnceWhenAFaultBegins)
{
    SiteRetryBudget budget(0.2, 0.0, window);
    const RetryCounts counts = failFrom(budget, { 40000 }, { 41000 });
    EXPECT_GE(counts.retries, 0.7 * counts.requests);
}

// Guards against a restarted gateway that retries nothing in its first window.
TEST(SiteRetryBudget, retriesByHalfTheShareInItsFirstWindow)
{
    SiteRetryBudget budget(0.2, 0.0, window);
    const RetryCounts counts = failFrom(budget, {}, { 10000 });
    EXPECT_GE(counts.retries, 0.07 * counts.requests);
}
