#include "request/concurrencylimit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

// Keeps as many requests in flight as the limit allowed at first, and finishes that many.
void runFull(ConcurrencyLimit &limit, Milliseconds duration)
{
    const std::uint32_t count = limit.limit();
    for (std::uint32_t i = 0; i < count; ++i) {
        limit.start();
    }
    for (std::uint32_t i = 0; i < count; ++i) {
        limit.finish(duration);
        limit.start();
    }
    for (std::uint32_t i = 0; i < count; ++i) {
        limit.finishWithoutResponse();
    }
}

} // namespace

TEST(ConcurrencyLimit, startsAtItsInitialValueAndGrowsByAboutOneForEachFullRound)
{
    ConcurrencyLimit limit(1, 12);
    EXPECT_EQ(limit.limit(), 1U);
    runFull(limit, { 10 });
    EXPECT_EQ(limit.limit(), 2U);
    for (int i = 0; i < 100; ++i) {
        runFull(limit, { 10 });
    }
    EXPECT_EQ(limit.limit(), 12U);
    EXPECT_EQ(limit.inFlight(), 0U);
}

// Guards against entry hosts that do not lower their limit while an upstream sheds load.
TEST(ConcurrencyLimit, halvesOnceForEachOverload)
{
    ConcurrencyLimit limit(8, 12);
    for (int i = 0; i < 8; ++i) {
        limit.start();
    }
    for (int i = 0; i < 8; ++i) {
        limit.finishShed({ 1000 });
    }
    EXPECT_EQ(limit.limit(), 4U);
    limit.start();
    limit.finishShed({ 1100 });
    EXPECT_EQ(limit.limit(), 2U);
}

// Guards against a limit that admits no request or exceeds its upper bound.
RC_GTEST_PROP(ConcurrencyLimit, staysBetweenOneAndItsUpperBound, ())
{
    const auto maxLimit = *rc::gen::inRange<std::uint32_t>(1, 20);
    ConcurrencyLimit limit(*rc::gen::inRange<std::uint32_t>(1, 20), maxLimit);
    TimePoint now { 0 };
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3))) {
        now = now + Milliseconds { 15 };
        limit.start();
        if (step == 0) {
            limit.finish({ *rc::gen::inRange(0, 100) });
        } else if (step == 1) {
            limit.finishShed(now);
        } else {
            limit.finishWithoutResponse();
        }
        RC_ASSERT(limit.limit() >= 1U);
        RC_ASSERT(limit.limit() <= maxLimit);
        RC_ASSERT(limit.inFlight() == 0U);
    }
}
