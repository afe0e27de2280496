#include "request/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace cassiaroad {

namespace {

constexpr double millisecondsPerSecond = 1000.0;
constexpr double maxWaitMilliseconds = 60000.0;
// While a token waits to be used, the next one arises by what is due in so much time.
constexpr double earlyTokenSeconds = 0.2;
// Errors of rounding must not make a request wait for one more millisecond.
constexpr double tolerance = 1e-6;

Milliseconds toWait(double tokens, double perSecond)
{
    if (tokens * millisecondsPerSecond >= maxWaitMilliseconds * perSecond) {
        return { static_cast<std::int64_t>(maxWaitMilliseconds) };
    }
    return { static_cast<std::int64_t>(std::ceil(tokens * millisecondsPerSecond / perSecond)) };
}

} // namespace

TokenBucket::TokenBucket(double phase, double perSecond, TimePoint now)
    : credit(phase)
    , perSecond(perSecond)
    , updatedAt(now)
{ }

double TokenBucket::creditAt(TimePoint now) const
{
    const auto elapsed = static_cast<double>((now - this->updatedAt).count);
    const double arisen = std::max(elapsed, 0.0) * this->perSecond / millisecondsPerSecond;
    const double most = 1.0 + this->perSecond * earlyTokenSeconds;
    return std::min(this->credit + arisen, most);
}

void TokenBucket::setRate(double value, TimePoint now)
{
    this->credit = this->creditAt(now);
    this->updatedAt = std::max(this->updatedAt, now);
    this->perSecond = value;
}

bool TokenBucket::hasToken(TimePoint now) const
{
    return this->perSecond > 0.0 && this->creditAt(now) >= 1.0 - tolerance;
}

Milliseconds TokenBucket::timeToToken(TimePoint now) const
{
    if (this->hasToken(now)) {
        return {};
    }
    const double missing = std::max(1.0 - this->creditAt(now), tolerance);
    return std::max(toWait(missing, this->perSecond), Milliseconds { 1 });
}

Milliseconds TokenBucket::interval() const
{
    return toWait(1.0, this->perSecond);
}

void TokenBucket::take(TimePoint now)
{
    this->credit = this->creditAt(now) - 1.0;
    this->updatedAt = std::max(this->updatedAt, now);
}

} // namespace cassiaroad
