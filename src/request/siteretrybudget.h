#pragma once

#include "process/clock.h"

#include <array>
#include <cstdint>

namespace cassiaroad {

/**
 * Requests to one service that may be sent to an upstream again: a share of the requests in a
 * sliding window, and a fixed number on top. Gateways do not see each other, so each takes its part
 * of the fixed number. Not thread-safe.
 */
class SiteRetryBudget
{
public:
    SiteRetryBudget(double share, double slack, Milliseconds window);

    /** Sets the number of gateways that share the fixed number; at least 1. */
    void setGateways(std::uint32_t count);

    void countRequest(TimePoint now);

    /** Takes one repetition; returns false if none is left. */
    bool take(TimePoint now);

private:
    // The window slides in steps; the oldest step still counts as a whole.
    static constexpr std::size_t steps = 11;

    struct Step
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Step &current(TimePoint now);

    double share;
    double slack;
    Milliseconds step;
    double gateways = 1.0;
    std::array<Step, steps> ring {};
    std::int64_t position = 0;
};

} // namespace cassiaroad
