#pragma once

#include "process/clock.h"

#include <array>
#include <cstdint>

namespace cassiaroad {

/**
 * Budget of one gateway for retries of requests to one service: a share of the requests in a
 * sliding window, and a fixed number on top. Gateways do not see each other's retries, so each uses
 * an equal part of the fixed number. It uses none of it in the first window after its start, since
 * an earlier process of the same gateway may have used the part, and its count has ended with it.
 * Not thread-safe.
 */
class SiteRetryBudget
{
public:
    /**
     * @p share: retries per request; @p slack: the fixed number, of all gateways together;
     * @p startedAt: start of the process.
     */
    SiteRetryBudget(double share, double slack, Milliseconds window, TimePoint startedAt);

    /**
     * Sets the number of gateways that share the fixed number; at least 1. The part of this gateway
     * may be used until @p validUntil.
     */
    void setGateways(std::uint32_t count, TimePoint validUntil);

    void countRequest(TimePoint now);

    /** Takes one retry from the budget; returns false if it is used up. */
    bool take(TimePoint now);

private:
    // The window slides in steps; the oldest step still counts in full.
    static constexpr std::size_t steps = 11;

    struct Step
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Step &current(TimePoint now);
    double slackPart(TimePoint now) const;

    double share;
    double slack;
    TimePoint slackSince; // the fixed number may be used from then on
    Milliseconds step;
    double gateways = 1.0;
    TimePoint slackUntil; // the fixed number may be used before then
    std::array<Step, steps> ring {};
    std::int64_t position = 0;
};

} // namespace cassiaroad
