#include "process/clock.h"
#include "process/eventloop.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against timers that fire too early or not at all, or after they were destroyed.
TEST(EventLoop, firesTimersInOrderOfTheirDelay)
{
    EventLoop loop;
    std::string order;
    const TimePoint start = loop.now();
    const auto late = loop.callAfter({ 20 }, [&] {
        order += "b";
        loop.stop();
    });
    const auto early = loop.callAfter({ 5 }, [&] { order += "a"; });
    {
        const auto cancelled = loop.callAfter({ 1 }, [&] { order += "x"; });
    }
    loop.run();
    EXPECT_EQ(order, "ab");
    EXPECT_GE(loop.now() - start, Milliseconds { 20 });
}
