#include "gateway/connectmonitor.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

TimePoint at(std::int64_t milliseconds)
{
    return { 1000000 + milliseconds };
}

} // namespace

// Load: a large body fills the gateway's own link. Guards against a gateway that takes the owners
// of keys for silent, and refuses requests for their keys, because no connection opens in time.
TEST(ConnectMonitor, blamesNoUpstreamWhileNoConnectionOpens)
{
    ConnectMonitor monitor;
    monitor.recordOpened(at(0), at(2));
    EXPECT_EQ(monitor.timeout(), Milliseconds { 400 });
    EXPECT_FALSE(monitor.recordTimeout(at(100), at(500)));
    EXPECT_FALSE(monitor.recordTimeout(at(110), at(510)));
    EXPECT_GE(monitor.timeout(), Milliseconds { 800 });
    monitor.recordOpened(at(520), at(1200));
    EXPECT_LE(monitor.timeout(), Milliseconds { 1600 });
}

// Guards against an upstream that has lost its power and is tried again and again, since its
// timeouts are put down to the link although other connections open.
TEST(ConnectMonitor, blamesAnUpstreamWhenALaterConnectionHasOpened)
{
    ConnectMonitor monitor;
    monitor.recordOpened(at(150), at(152));
    EXPECT_TRUE(monitor.recordTimeout(at(100), at(500)));
    EXPECT_EQ(monitor.timeout(), Milliseconds { 400 });
}
