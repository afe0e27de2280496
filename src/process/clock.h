#pragma once

#include <compare>
#include <cstdint>

namespace cassiaroad {

/** A duration in milliseconds. */
struct Milliseconds
{
    std::int64_t count = 0;

    auto operator<=>(const Milliseconds &) const = default;
    Milliseconds operator+(Milliseconds other) const { return { this->count + other.count }; }
    Milliseconds operator-(Milliseconds other) const { return { this->count - other.count }; }
    Milliseconds operator*(std::int64_t factor) const { return { this->count * factor }; }
    Milliseconds operator/(std::int64_t divisor) const { return { this->count / divisor }; }
};

/** A point on a monotonic clock, in milliseconds since an arbitrary origin. */
struct TimePoint
{
    std::int64_t sinceOrigin = 0;

    auto operator<=>(const TimePoint &) const = default;
    TimePoint operator+(Milliseconds duration) const
    {
        return { this->sinceOrigin + duration.count };
    }
    TimePoint operator-(Milliseconds duration) const
    {
        return { this->sinceOrigin - duration.count };
    }
    Milliseconds operator-(TimePoint other) const
    {
        return { this->sinceOrigin - other.sinceOrigin };
    }
};

/** Reads the system's clocks. Stateless; safe to use from any thread. */
class Clock
{
public:
    /** Returns the monotonic time, which includes time spent suspended (CLOCK_BOOTTIME). */
    static TimePoint now();

    /** Returns the same time in microseconds; for measuring how long work takes. */
    static std::int64_t microseconds();

    /** Returns the wall clock in milliseconds since 1970; only for records that people read. */
    static std::int64_t wallMilliseconds();
};

} // namespace cassiaroad
