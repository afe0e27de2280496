#include "request/upstreampace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace cassiaroad;

namespace {

constexpr Milliseconds calm { 7000 };
const TimePoint start { 1000000 };

} // namespace

// Guards against fifty gateways that return at once and each send a recovering upstream a request,
// and against one that none of them sends any.
TEST(UpstreamPace, spreadsTheShareOverGatewaysThatReturnAtOnce)
{
    int started = 0;
    for (int i = 0; i < 50; ++i) {
        UpstreamPace pace((i + 0.5) / 50.0);
        pace.setAdmitted(AdmittedShare { 0.125, start + calm });
        if (pace.allows(start)) {
            pace.take(start);
            ++started;
        } else {
            pace.turnAway(start);
        }
    }
    EXPECT_GE(started, 5);
    EXPECT_LE(started, 8);
}

// Guards against limits at sites without cold or full upstreams.
TEST(UpstreamPace, limitsNothingWithoutReason)
{
    UpstreamPace pace(0.0);
    for (int i = 0; i < 1000; ++i) {
        EXPECT_TRUE(pace.allows(start));
        pace.take(start);
        pace.recordResponse(true, start);
    }
    EXPECT_EQ(pace.limit(start), UpstreamPace::Limit::None);
}

// Guards against a limit for an upstream that refuses few of its requests.
TEST(UpstreamPace, limitsNothingAfterSingleRefusals)
{
    UpstreamPace pace(0.0);
    pace.setFullRate(0.1, start);
    for (int i = 0; i < 100; ++i) {
        pace.recordRefused(start);
        pace.recordRefused(start);
        pace.recordResponse(false, start);
        EXPECT_EQ(pace.limit(start), UpstreamPace::Limit::None);
    }
}

// Guards against a full upstream that gets nothing for good, and against a limit that never ends.
TEST(UpstreamPace, lowersAndRaisesTheRateOfAFullUpstream)
{
    UpstreamPace pace(0.0);
    pace.setFullRate(0.1, start);
    for (int i = 0; i < 100; ++i) {
        pace.recordRefused(start + Milliseconds { 1000 } * i);
    }
    const TimePoint now = start + Milliseconds { 99000 };
    EXPECT_EQ(pace.limit(now), UpstreamPace::Limit::Full);
    pace.take(now);
    const Milliseconds lowered = pace.timeLeft(now);
    EXPECT_LE(lowered, Milliseconds { 40000 }); // a quarter of the rate at least
    for (int i = 0; i < 10; ++i) {
        pace.recordResponse(true, now);
    }
    EXPECT_LT(pace.timeLeft(now), lowered);
    EXPECT_TRUE(pace.allows(now + Milliseconds { 30000 }));
}

// Guards against clients that all come back at the time of the same token.
TEST(UpstreamPace, spreadsTheReturnOfRequestsThatItTurnsAway)
{
    UpstreamPace pace(0.0);
    pace.setFullRate(0.2, start);
    for (int i = 0; i < 3; ++i) {
        pace.recordRefused(start);
    }
    std::vector<std::int64_t> times;
    for (int i = 0; i < 20; ++i) {
        times.push_back(pace.turnAway(start).count);
    }
    EXPECT_EQ(times.front(), 5000);
    std::sort(times.begin(), times.end());
    EXPECT_LE(times.back(), 10000);
    for (std::size_t i = 1; i < times.size(); ++i) {
        EXPECT_GT(times[i] - times[i - 1], 100);
        EXPECT_LT(times[i] - times[i - 1], 700);
    }
}
