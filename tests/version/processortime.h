#pragma once

#include <algorithm>
#include <cstdint>
#include <ctime>

namespace cassiaroad {

/** Returns the processor time of this thread in nanoseconds. */
inline std::int64_t threadProcessorTime()
{
    constexpr std::int64_t nanosecondsPerSecond = 1000000000;
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return time.tv_sec * nanosecondsPerSecond + time.tv_nsec;
}

/**
 * Returns the least processor time that @p work took in several runs, in nanoseconds. Tests compare
 * two such times, so their result does not depend on the speed of the machine.
 */
template <typename Work>
std::int64_t leastProcessorTime(Work work)
{
    constexpr int runs = 7;
    std::int64_t least = INT64_MAX;
    for (int i = 0; i < runs; ++i) {
        const std::int64_t start = threadProcessorTime();
        work();
        least = std::min(least, threadProcessorTime() - start);
    }
    return least;
}

} // namespace cassiaroad
