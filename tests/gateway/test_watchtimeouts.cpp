#include "gateway/watchtimeouts.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against a gateway on a full link that never connects to a control host, because it gives
// up after the same short time again and again.
TEST(WatchTimeouts, growWithEachTimeoutInARowUpToABound)
{
    WatchTimeouts timeouts;
    EXPECT_EQ(timeouts.connectWait(), Milliseconds { 300 });
    EXPECT_EQ(timeouts.replyTimeout({ 600 }), Milliseconds { 1300 });
    timeouts.recordFailure({ 300 });
    EXPECT_EQ(timeouts.connectWait(), Milliseconds { 600 });
    EXPECT_EQ(timeouts.replyTimeout({ 600 }), Milliseconds { 2000 });
    timeouts.recordFailure({ 2000 });
    timeouts.recordFailure({ 2000 });
    EXPECT_EQ(timeouts.connectWait(), Milliseconds { 1200 });
    timeouts.recordUpdate();
    EXPECT_EQ(timeouts.connectWait(), Milliseconds { 300 });
}

// Guards against a slow search for the next leader after hosts have refused connections at once.
TEST(WatchTimeouts, doNotGrowWhenAHostRefusesAtOnce)
{
    WatchTimeouts timeouts;
    timeouts.recordFailure({ 40 });
    timeouts.recordFailure({ 299 });
    EXPECT_EQ(timeouts.connectWait(), Milliseconds { 300 });
}
