#pragma once

#include "process/clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace cassiaroad {

/**
 * Budget of one gateway for retries of requests to one service: a share of the requests, and a
 * fixed number on top, in any window of all gateways together. They do not see each other's
 * retries, nor those of an earlier process of the same gateway. Not thread-safe.
 *
 * Retries since a time at most one window ago are limited by half the share of the requests since
 * one window before that time. Such limits of any processes, however long they run, add up to half
 * the share of the requests of two windows: at most the share of those of the one with more.
 *
 * Each gateway uses an equal part of the fixed number, under a lease on the number of gateways. A
 * gateway that joins uses none of it until the lease of the others on a smaller number and one
 * window are over: an earlier process may also have used its part.
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
    // Time is divided into steps, of which a window that begins within one touches one more.
    static constexpr std::int64_t windowSteps = 20;
    static constexpr std::size_t steps = 2 * windowSteps;

    struct Step
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Step &current(TimePoint now);
    const Step &stepBefore(std::int64_t count) const;
    bool hasRoom(double fixedPart) const;
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
