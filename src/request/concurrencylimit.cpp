#include "request/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace cassiaroad {

namespace {

// Weight of a new sample in the smoothed duration.
constexpr double smoothing = 0.1;
constexpr double decreaseFactor = 0.5;
// Minimum time between two decreases: requests of the same overload that were sent before the limit
// was halved must not halve it again.
constexpr Milliseconds minDecreaseInterval { 20 };

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t initial, std::uint32_t maxLimit)
    : window(std::min(initial, maxLimit))
    , maxLimit(maxLimit)
{ }

std::uint32_t ConcurrencyLimit::limit() const
{
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(this->window));
}

void ConcurrencyLimit::finish(Milliseconds duration)
{
    const bool wasFull = this->running >= this->limit();
    --this->running;
    const auto sample = static_cast<double>(duration.count);
    this->smoothedDuration
            = this->smoothedDuration == 0.0
                      ? sample
                      : this->smoothedDuration * (1 - smoothing) + sample * smoothing;
    if (wasFull) {
        this->window
                = std::min(this->window + 1.0 / this->window, static_cast<double>(this->maxLimit));
    }
}

void ConcurrencyLimit::finishShed(TimePoint now)
{
    --this->running;
    this->hasShed = true;
    if (now < this->nextDecrease) {
        return;
    }
    this->window = std::max(1.0, this->window * decreaseFactor);
    this->nextDecrease = now + std::max(this->typicalDuration(), minDecreaseInterval);
}

Milliseconds ConcurrencyLimit::typicalDuration() const
{
    return { std::llround(this->smoothedDuration) };
}

void ConcurrencyLimit::setMaxLimit(std::uint32_t value)
{
    this->maxLimit = std::max<std::uint32_t>(1, value);
    this->window = std::min(this->window, static_cast<double>(this->maxLimit));
}

void ConcurrencyLimit::raiseToMaxLimit()
{
    if (!this->hasShed) {
        this->window = static_cast<double>(this->maxLimit);
    }
}

} // namespace cassiaroad
