#include "request/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace cassiaroad {

namespace {

constexpr double smoothing = 0.1;
constexpr double decrease = 0.5;
// Requests of one overload that were sent before the limit fell must not halve it again.
constexpr Milliseconds shortestDecreaseInterval { 20 };

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t initial, std::uint32_t highest)
    : window(std::min(initial, highest))
    , highest(highest)
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
                = std::min(this->window + 1.0 / this->window, static_cast<double>(this->highest));
    }
}

void ConcurrencyLimit::finishShed(TimePoint now)
{
    --this->running;
    this->hasShed = true;
    if (now < this->nextDecrease) {
        return;
    }
    this->window = std::max(1.0, this->window * decrease);
    this->nextDecrease = now + std::max(this->typicalDuration(), shortestDecreaseInterval);
}

Milliseconds ConcurrencyLimit::typicalDuration() const
{
    return { std::llround(this->smoothedDuration) };
}

void ConcurrencyLimit::setMaxLimit(std::uint32_t value)
{
    this->highest = std::max<std::uint32_t>(1, value);
    this->window = std::min(this->window, static_cast<double>(this->highest));
}

void ConcurrencyLimit::widen()
{
    if (!this->hasShed) {
        this->window = static_cast<double>(this->highest);
    }
}

} // namespace cassiaroad
