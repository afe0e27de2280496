#pragma once

#include "process/eventloop.h"

#include <functional>

namespace cassiaroad {

// Longest wait of a test for something that should happen at once.
constexpr Milliseconds testPatience { 10000 };

/** Runs @p loop until @p condition holds; returns false if it does not within @p bound. */
inline bool waitUntil(EventLoop &loop, const std::function<bool()> &condition,
                      Milliseconds bound = testPatience)
{
    const TimePoint end = loop.now() + bound;
    bool held = condition();
    const EventLoop::Timer timer = loop.callEvery({ 1 }, [&] {
        held = held || condition();
        if (held || loop.now() > end) {
            loop.stop();
        }
    });
    if (!held) {
        loop.run();
    }
    return held;
}

/** Runs @p loop for @p span. */
inline void runFor(EventLoop &loop, Milliseconds span)
{
    waitUntil(
            loop, [] { return false; }, span);
}

} // namespace cassiaroad
