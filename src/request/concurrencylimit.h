#pragma once

#include "process/clock.h"

#include <cstdint>

namespace cassiaroad {

/**
 * Adaptive number of requests that one entry host keeps in flight to one upstream. Entry hosts do
 * not see each other's requests, so each raises its share slowly while requests succeed and halves
 * it when the upstream sheds load. Not thread-safe.
 */
class ConcurrencyLimit
{
public:
    /** @p initial and @p highest are at least 1. */
    ConcurrencyLimit(std::uint32_t initial, std::uint32_t highest);

    std::uint32_t limit() const;
    std::uint32_t inFlight() const { return this->running; }
    bool hasRoom() const { return this->running < this->limit(); }

    void start() { ++this->running; }

    /** A request ended with an answer @p duration after it was sent. */
    void finish(Milliseconds duration);

    /** The upstream shed a request. */
    void finishShed(TimePoint now);

    /** A request ended without an answer; says nothing about the load. */
    void finishWithoutAnswer() { --this->running; }

    /** Smoothed time that the upstream takes for a request. */
    Milliseconds typicalDuration() const;

    void setMaxLimit(std::uint32_t value);

    /** Raises the limit to the highest one unless the upstream has shed a request. */
    void widen();

private:
    double window;
    std::uint32_t highest;
    std::uint32_t running = 0;
    double smoothedDuration = 0.0;
    TimePoint nextDecrease;
    bool hasShed = false;
};

} // namespace cassiaroad
