#include "gateway/listenerlimits.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against gateways that ignore the limits of the configuration.
TEST(ListenerLimits, takesThemFromTheConfiguration)
{
    HttpServerLimits own;
    own.maxConnections = 7;
    own.maxBodyBytes = 4096;
    const HttpServerLimits limits = withClientLimits(own, { 2048, 1024, { 1500 }, { 9000 } });
    EXPECT_EQ(limits.maxHeadBytes, 2048U);
    EXPECT_EQ(limits.maxBodyBytes, 1024U);
    EXPECT_EQ(limits.headTimeout, Milliseconds { 1500 });
    EXPECT_EQ(limits.idleTimeout, Milliseconds { 9000 });
    EXPECT_EQ(limits.maxConnections, 7U);
}

// Guards against a configuration whose limits keep out all clients, or that lets bodies in which
// are larger than the memory of a gateway allows.
TEST(ListenerLimits, keepsThemWithinWhatAListenerCanWorkWith)
{
    HttpServerLimits own;
    own.maxBodyBytes = 4096;
    const HttpServerLimits low = withClientLimits(own, { 0, 0, {}, {} });
    EXPECT_EQ(low.maxHeadBytes, 1024U);
    EXPECT_EQ(low.idleTimeout, Milliseconds { 1000 });
    EXPECT_EQ(low.headTimeout, Milliseconds { 1000 });
    const std::uint64_t huge = std::uint64_t(1) << 40;
    const HttpServerLimits high = withClientLimits(own, { huge, huge, { 5000 }, { 5000 } });
    EXPECT_EQ(high.maxHeadBytes, 256U * 1024);
    EXPECT_EQ(high.maxBodyBytes, 4096U);
}
