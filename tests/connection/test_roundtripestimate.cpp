#include "connection/roundtripestimate.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr Milliseconds minTimeout { 250 };
constexpr Milliseconds maxTimeout { 2000 };

} // namespace

// Guards against a host that is never heard over a full link, because each call ends before its
// reply arrives.
TEST(RoundTripEstimate, doublesWithEachTimeoutInARowUpToItsBound)
{
    RoundTripEstimate estimate(minTimeout, maxTimeout);
    EXPECT_EQ(estimate.timeout(), Milliseconds { 250 });
    estimate.recordFailure({ 250 });
    EXPECT_EQ(estimate.timeout(), Milliseconds { 500 });
    estimate.recordFailure({ 500 });
    EXPECT_EQ(estimate.timeout(), Milliseconds { 1000 });
    estimate.recordFailure({ 1100 });
    EXPECT_EQ(estimate.timeout(), Milliseconds { 2000 });
    for (int i = 0; i < 100; ++i) {
        estimate.recordFailure({ 2000 });
    }
    EXPECT_EQ(estimate.timeout(), Milliseconds { 2000 });
}

// Guards against a slow search for the next leader after hosts have refused connections at once,
// and against counting all calls that were waiting on one connection as timeouts in a row.
TEST(RoundTripEstimate, doesNotGrowWhenACallFailsBeforeItsTimeout)
{
    RoundTripEstimate estimate(minTimeout, maxTimeout);
    estimate.recordFailure({ 40 });
    estimate.recordFailure({ 249 });
    EXPECT_EQ(estimate.timeout(), Milliseconds { 250 });
    estimate.recordFailure({ 250 });
    estimate.recordFailure({ 250 });
    EXPECT_EQ(estimate.timeout(), Milliseconds { 500 });
}

// Guards against a connection that is closed with every call while the link is slow: the timeout
// stays above the round-trip time after the first reply.
TEST(RoundTripEstimate, staysAboveASlowRoundTripTime)
{
    RoundTripEstimate estimate(minTimeout, maxTimeout);
    estimate.recordReply({ 40 });
    estimate.recordFailure({ 250 });
    for (int i = 0; i < 50; ++i) {
        estimate.recordReply({ i % 2 == 0 ? 400 : 440 });
        EXPECT_GT(estimate.timeout(), Milliseconds { 440 }) << "reply " << i;
    }
}

// Guards against a slow connection that works and is closed when one reply is a little later than
// the others: the variation of equal round-trip times is 0, so the timeout was their average.
TEST(RoundTripEstimate, leavesTimeAboveEqualRoundTripTimes)
{
    RoundTripEstimate estimate(minTimeout, maxTimeout);
    for (int i = 0; i < 100; ++i) {
        estimate.recordReply({ 600 });
    }
    EXPECT_GE(estimate.timeout(), Milliseconds { 700 });
}

// Guards against silent connections that are noticed late for good after the link was slow once.
TEST(RoundTripEstimate, returnsToTheMinimumWhenRepliesAreQuickAgain)
{
    RoundTripEstimate estimate(minTimeout, maxTimeout);
    for (int i = 0; i < 20; ++i) {
        estimate.recordReply({ 900 });
    }
    for (int i = 0; i < 30; ++i) {
        estimate.recordReply({ 40 });
    }
    EXPECT_EQ(estimate.timeout(), Milliseconds { 250 });
}
