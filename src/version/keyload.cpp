#include "version/keyload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cassiaroad {

namespace {

// Time constant of the exponential decay. It is short enough to detect a hot key within a second or
// two, and long enough to average a few hundred requests of a small site.
constexpr double decayTimeSeconds = 2.5;
constexpr double minAgeSeconds = 0.3;
constexpr Milliseconds decayInterval { 200 };

} // namespace

KeyLoad::KeyLoad()
    : weights(keyCount, 0.0F)
{ }

void KeyLoad::add(KeyNumber key, std::uint32_t requests, TimePoint now)
{
    if (key > lastKey) {
        return;
    }
    if (!this->hasRequests) {
        this->hasRequests = true;
        this->firstRequestAt = now;
        this->updateEffectiveSeconds();
    }
    this->decay(now);
    this->weights[key] += static_cast<float>(requests);
}

void KeyLoad::decay(TimePoint now)
{
    const Milliseconds passed = now - this->decayedAt;
    if (passed < decayInterval) {
        return;
    }
    this->decayedAt = now;
    const auto factor = static_cast<float>(
            std::exp(-static_cast<double>(passed.count) / (1000.0 * decayTimeSeconds)));
    for (float &weight : this->weights) {
        weight *= factor;
    }
    this->updateEffectiveSeconds();
}

// In the first seconds, the requests represent less time than the time constant of the decay.
void KeyLoad::updateEffectiveSeconds()
{
    const auto age = static_cast<double>((this->decayedAt - this->firstRequestAt).count) / 1000.0;
    const double part = 1.0 - std::exp(-std::max(age, minAgeSeconds) / decayTimeSeconds);
    this->effectiveSeconds = decayTimeSeconds * part;
}

double KeyLoad::rate(const KeyRange &range) const
{
    const auto begin = this->weights.begin() + range.from;
    const auto end = this->weights.begin() + range.to + 1;
    return std::accumulate(begin, end, 0.0) / this->effectiveSeconds;
}

double KeyLoad::rate(KeyNumber key) const
{
    return static_cast<double>(this->weights[key]) / this->effectiveSeconds;
}

} // namespace cassiaroad
