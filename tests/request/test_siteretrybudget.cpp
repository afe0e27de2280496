#include "request/siteretrybudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

constexpr Milliseconds window { 10000 };

} // namespace

// Guards against exceeding the limit of the site: in no window may all gateways together send more
// retries than the share of the requests and the fixed number.
RC_GTEST_PROP(SiteRetryBudget, staysWithinTheLimitInEveryWindow, ())
{
    SiteRetryBudget budget(0.2, 60.0, window);
    const auto gateways = *rc::gen::inRange(1, 12);
    budget.setGateways(static_cast<std::uint32_t>(gateways));
    std::vector<std::pair<std::int64_t, bool>> events; // time, whether a retry
    std::int64_t now = 1000000;
    const auto count = *rc::gen::inRange(1, 400);
    for (int i = 0; i < count; ++i) {
        now += *rc::gen::inRange(0, 200);
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
    SiteRetryBudget budget(0.2, 60.0, window);
    budget.setGateways(10);
    int taken = 0;
    while (budget.take({ 1000 })) {
        ++taken;
    }
    EXPECT_EQ(taken, 4);
    EXPECT_TRUE(budget.take({ 1000 + 11000 }));
}
