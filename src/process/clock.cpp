#include "process/clock.h"

#include <ctime>

namespace cassiaroad {

namespace {

constexpr std::int64_t millisecondsPerSecond = 1000;
constexpr std::int64_t nanosecondsPerMillisecond = 1000000;

std::int64_t readClock(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return time.tv_sec * millisecondsPerSecond + time.tv_nsec / nanosecondsPerMillisecond;
}

} // namespace

TimePoint Clock::now()
{
    return { readClock(CLOCK_BOOTTIME) };
}

std::int64_t Clock::wallMilliseconds()
{
    return readClock(CLOCK_REALTIME);
}

} // namespace cassiaroad
