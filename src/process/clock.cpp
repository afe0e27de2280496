#include "process/clock.h"

#include <ctime>

namespace cassiaroad {

namespace {

constexpr std::int64_t nanosecondsPerSecond = 1000000000;
constexpr std::int64_t nanosecondsPerMillisecond = 1000000;
constexpr std::int64_t nanosecondsPerMicrosecond = 1000;

std::int64_t readNanoseconds(clockid_t clock)
{
    timespec time {};
    clock_gettime(clock, &time);
    return time.tv_sec * nanosecondsPerSecond + time.tv_nsec;
}

} // namespace

TimePoint Clock::now()
{
    return { readNanoseconds(CLOCK_BOOTTIME) / nanosecondsPerMillisecond };
}

std::int64_t Clock::microseconds()
{
    return readNanoseconds(CLOCK_BOOTTIME) / nanosecondsPerMicrosecond;
}

std::int64_t Clock::wallMilliseconds()
{
    return readNanoseconds(CLOCK_REALTIME) / nanosecondsPerMillisecond;
}

} // namespace cassiaroad
