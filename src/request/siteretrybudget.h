#pragma once

#include "process/clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace cassiaroad {

/**
 * Budget of one gateway for retries of requests to one service: a share of the requests in a
 * sliding window, and a fixed number on top. Gateways do not see each other's retries, so each uses
 * an equal part of the fixed number, under a lease on the number of gateways. A gateway that joins
 * uses none of it until the lease of the others on a smaller number and one window are over: an
 * earlier process of the same gateway may also have used its part, and its count has ended with it.
 * Not thread-safe.
 */
class SiteRetryBudget
{
public:
    /** @p share: retries per request; @p slack: the fixed number, of all gateways together. */
    SiteRetryBudget(double share, double slack, Milliseconds window);

    /**
     * Sets the number of gateways that share the fixed number; at least 1. The leader told it at
     * @p confirmedAt or later; the part of this gateway may be used for gatewayCountLease from
     * then. The gateway joins with the first call, and when the leader may have ceased to count it.
     */
    void setGateways(std::uint32_t count, TimePoint confirmedAt);

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
    Milliseconds window;
    TimePoint slackSince; // the fixed number may be used from then on
    Milliseconds step;
    double gateways = 1.0;
    std::optional<TimePoint> slackUntil; // and until then; nothing: no number was told yet
    std::array<Step, steps> ring {};
    std::int64_t position = 0;
};

} // namespace cassiaroad
