#include "gateway/subsetsize.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

// Longest mean time between two requests to one upstream. With 1 s, 2 in 100 intervals of random
// arrivals exceed the 4 s after which a gateway closes an idle connection; with 1.5 s, 7 in 100.
constexpr double secondsPerRequest = 1.0;
constexpr Milliseconds minInterval { 500 };
// Time constant of the smoothed rate. Shorter peaks do not change the size.
constexpr double smoothingSeconds = 10.0;
// The size shrinks only if the rate asks for less than this part of it.
constexpr double shrinkBelow = 0.8;

std::size_t nextStep(std::size_t size)
{
    return size + size / 2;
}

// Returns the largest step that is at most @p wanted.
std::size_t stepFor(double wanted)
{
    std::size_t step = SubsetSize::minSize;
    while (static_cast<double>(nextStep(step)) <= wanted) {
        step = nextStep(step);
    }
    return step;
}

} // namespace

void SubsetSize::update(TimePoint now)
{
    if (!this->updatedAt) {
        this->updatedAt = now;
        this->requests = 0;
        return;
    }
    const Milliseconds interval = now - *this->updatedAt;
    if (interval < minInterval) {
        return;
    }
    const double seconds = static_cast<double>(interval.count) / 1000.0;
    const double sample = std::exchange(this->requests, 0) / seconds;
    const double weight = std::min(1.0, seconds / smoothingSeconds);
    const double before = this->rate.value_or(sample);
    this->rate = before + (sample - before) * weight;
    this->updatedAt = now;
    const double wanted = *this->rate * secondsPerRequest;
    const std::size_t step = stepFor(wanted);
    if (step > this->current || wanted < shrinkBelow * static_cast<double>(this->current)) {
        this->current = step;
    }
}

} // namespace cassiaroad
