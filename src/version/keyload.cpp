#include "version/keyload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cassiaroad {

namespace {

// Short enough to see a hot key within a second or two, long enough to average a few hundred
// requests of a small site.
constexpr double memorySeconds = 2.5;
constexpr double shortestSeconds = 0.3;
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
    if (!this->began) {
        this->began = true;
        this->beganAt = now;
        this->updateSeconds();
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
    this->updateSeconds();
}

// The requests stand for less than the memory in the first seconds.
void KeyLoad::updateSeconds()
{
    const auto age = static_cast<double>((this->fadedAt - this->beganAt).count) / 1000.0;
    const double part = 1.0 - std::exp(-std::max(age, shortestSeconds) / memorySeconds);
    this->seconds = memorySeconds * part;
}

double KeyLoad::rate(const KeyRange &range) const
{
    const auto begin = this->weights.begin() + range.from;
    const auto end = this->weights.begin() + range.to + 1;
    return std::accumulate(begin, end, 0.0) / this->seconds;
}

double KeyLoad::rate(KeyNumber key) const
{
    return static_cast<double>(this->weights[key]) / this->seconds;
}

} // namespace cassiaroad
