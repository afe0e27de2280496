#include "connection/roundtripestimate.h"

#include <algorithm>
#include <cstdlib>

namespace cassiaroad {

namespace {

// Weights of a new sample, as in RFC 6298: one part in so many.
constexpr std::int64_t averageWeight = 8;
constexpr std::int64_t variationWeight = 4;
// The timeout is above the average by so many times the variation.
constexpr std::int64_t variationFactor = 4;
// The timeout is above the average by at least that. The variation of equal round-trip times is 0,
// but a reply can be late by the time that a busy host needs to handle it.
constexpr Milliseconds minMargin { 100 };

} // namespace

RoundTripEstimate::RoundTripEstimate(Milliseconds minTimeout, Milliseconds maxTimeout)
    : minTimeout(minTimeout)
    , maxTimeout(maxTimeout)
{ }

Milliseconds RoundTripEstimate::timeout() const
{
    const Milliseconds margin = std::max(this->variation * variationFactor, minMargin);
    const Milliseconds expected = this->smoothed + margin;
    const Milliseconds usual = std::max(expected, this->minTimeout);
    return std::min(usual * this->backoff, this->maxTimeout);
}

void RoundTripEstimate::recordReply(Milliseconds roundTrip)
{
    this->backoff = 1;
    if (!this->hasSample) {
        this->hasSample = true;
        this->smoothed = roundTrip;
        this->variation = roundTrip / 2;
        return;
    }
    const Milliseconds distance { std::abs(roundTrip.count - this->smoothed.count) };
    this->variation = (this->variation * (variationWeight - 1) + distance) / variationWeight;
    this->smoothed = (this->smoothed * (averageWeight - 1) + roundTrip) / averageWeight;
}

void RoundTripEstimate::recordFailure(Milliseconds waited)
{
    if (waited >= this->timeout() && this->timeout() < this->maxTimeout) {
        this->backoff *= 2;
    }
}

} // namespace cassiaroad
