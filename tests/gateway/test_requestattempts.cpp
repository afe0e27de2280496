#include "gateway/requestattempts.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against a request that uses up its attempts, or the upstreams that its route allows, on
// connections that full upstreams have refused.
TEST(RequestAttempts, countsNoRefusedConnections)
{
    RequestAttempts attempts;
    for (int i = 0; i < 10; ++i) {
        attempts.begin("i-" + std::to_string(i));
        attempts.recordRefusedConnection();
    }
    EXPECT_TRUE(attempts.mayRepeat());
    EXPECT_EQ(attempts.reachedCount(), 0U);
    EXPECT_EQ(attempts.chosen().size(), 10U);
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(attempts.mayRepeat());
        attempts.begin("i-0");
        attempts.recordWritten("i-0");
    }
    EXPECT_FALSE(attempts.mayRepeat());
    EXPECT_EQ(attempts.reachedCount(), 1U);
    EXPECT_EQ(attempts.count(), 14U);
}

// Load: a full upstream. Guards against gateways that open connections to it without a pause, which
// take up its capacity, and against pauses that use up the time of the request.
TEST(RequestAttempts, waitsLongerAfterEachRefusedConnection)
{
    RequestAttempts attempts;
    std::vector<std::int64_t> delays;
    for (int i = 0; i < 6; ++i) {
        delays.push_back(attempts.recordRefusedConnection().count);
    }
    EXPECT_EQ(delays, (std::vector<std::int64_t> { 25, 50, 100, 200, 200, 200 }));
}
