#include "version/keyload.h"

#include <cmath>
#include <numeric>

namespace cassiaroad {

namespace {

// Short enough to see a hot key within a second or two, long enough to average a few hundred
// requests of a small site.
constexpr double memorySeconds = 2.5;
constexpr Milliseconds fadeInterval { 200 };

} // namespace

KeyLoad::KeyLoad()
    : weights(keyCount, 0.0F)
{ }

void KeyLoad::add(KeyNumber key, std::uint32_t requests, TimePoint now)
{
    if (key > lastKey) {
        return;
    }
    this->fade(now);
    this->weights[key] += static_cast<float>(requests);
}

void KeyLoad::fade(TimePoint now)
{
    const Milliseconds passed = now - this->fadedAt;
    if (passed < fadeInterval) {
        return;
    }
    this->fadedAt = now;
    const auto factor = static_cast<float>(
            std::exp(-static_cast<double>(passed.count) / (1000.0 * memorySeconds)));
    for (float &weight : this->weights) {
        weight *= factor;
    }
}

double KeyLoad::rate(const KeyRange &range) const
{
    const auto begin = this->weights.begin() + range.from;
    const auto end = this->weights.begin() + range.to + 1;
    return std::accumulate(begin, end, 0.0) / memorySeconds;
}

double KeyLoad::rate(KeyNumber key) const
{
    return static_cast<double>(this->weights[key]) / memorySeconds;
}

} // namespace cassiaroad
