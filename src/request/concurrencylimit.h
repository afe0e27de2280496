#pragma once

#include "process/clock.h"

#include <cstdint>

namespace cassiaroad {

/**
 * Adaptive limit of the requests that one entry host or gateway has in flight to one upstream.
 * Hosts do not see each other's requests, so each raises its limit slowly while requests succeed
 * and halves it when the upstream sheds load. Not thread-safe.
 */
class ConcurrencyLimit
{
public:
    /** @p initial and @p maxLimit are at least 1. */
    ConcurrencyLimit(std::uint32_t initial, std::uint32_t maxLimit);

    std::uint32_t limit() const;
    std::uint32_t inFlight() const { return this->running; }
    bool hasCapacity() const { return this->running < this->limit(); }

    /** A request was sent; one of the finish functions must follow. */
    void start() { ++this->running; }

    /** A request ended with a response @p duration after it was sent. */
    void finish(Milliseconds duration);

    /** A request ended because the upstream shed it. */
    void finishShed(TimePoint now);

    /** A request ended without a response, which says nothing about the load. */
    void finishWithoutResponse() { --this->running; }

    /** Smoothed duration of a request at the upstream; 0 before the first response. */
    Milliseconds typicalDuration() const;

    /** Sets the upper bound of the limit. */
    void setMaxLimit(std::uint32_t value);

    /** Raises the limit to its upper bound, unless the upstream has ever shed a request. */
    void raiseToMaxLimit();

private:
    double window; // the limit, with a fraction
    std::uint32_t maxLimit;
    std::uint32_t running = 0;
    double smoothedDuration = 0.0;
    TimePoint nextDecrease;
    bool hasShed = false;
};

} // namespace cassiaroad
