#pragma once

#include "process/eventloop.h"

#include <functional>

namespace cassiaroad {

// Maximum time that a test waits for something that should happen at once.
constexpr Milliseconds testTimeout { 10000 };

/** Runs @p loop until @p condition holds; returns false if it does not within @p timeout. */
inline bool waitUntil(EventLoop &loop, const std::function<bool()> &condition,
                      Milliseconds timeout = testTimeout)
{
    const TimePoint end = loop.now() + timeout;
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

/** Runs @p loop for @p duration. */
inline void runFor(EventLoop &loop, Milliseconds duration)
{
    waitUntil(
            loop, [] { return false; }, duration);
}

} // namespace cassiaroad
