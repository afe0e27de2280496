#pragma once

#include "process/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace cassiaroad {

/**
 * How many upstreams of a service a gateway uses: so few that each gets a request about every
 * second, before its idle connection is closed, and enough to survive failures. Sizes are steps,
 * and the size changes only when the rate has clearly left its step, since each change opens
 * connections. Pure; not thread-safe.
 */
class SubsetSize
{
public:
    static constexpr std::size_t minSize = 4;
    /** Until a rate is measured. */
    static constexpr std::size_t initialSize = 8;

    void countRequest() { ++this->requests; }

    /** Adapts the size to the requests counted; call it about every second. */
    void update(TimePoint now);

    std::size_t size() const { return this->current; }

    /** Smoothed requests per second; 0 until they are measured. */
    double requestsPerSecond() const { return this->rate.value_or(0.0); }

private:
    std::size_t current = initialSize;
    std::uint32_t requests = 0; // since the last update
    std::optional<TimePoint> updatedAt;
    std::optional<double> rate; // requests per second, smoothed
};

} // namespace cassiaroad
