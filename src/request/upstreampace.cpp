#include "request/upstreampace.h"

#include <algorithm>
#include <cmath>

namespace cassiaroad {

namespace {

// A full upstream is treated as such for some intervals between its tokens after it has refused a
// request, or after the last request that had to wait for a token. Of many gateways each has
// requests for it every few seconds only.
constexpr Milliseconds minFullDuration { 5000 };
constexpr Milliseconds maxFullDuration { 30000 };
constexpr std::int64_t fullIntervals = 3;
// Refusals without a response in between, after which an upstream counts as full. One that refuses
// only some requests serves more in all without a limit, since gateways without a request lose
// their tokens.
constexpr std::uint32_t refusalsOfFull = 3;
// The correction of the rate, between these bounds, is kept if the upstream is full again so soon.
constexpr double minCorrection = 0.25;
constexpr double maxCorrection = 1.5;
constexpr Milliseconds correctionLifetime { 30000 };
// Additive increase and multiplicative decrease of the correction.
constexpr double increase = 0.05;
constexpr double decreaseFactor = 0.9;
// Requests of the same overload, which were sent before a decrease, cause no other one.
constexpr Milliseconds minDecreaseInterval { 250 };
// Multiples of the golden ratio, without their whole parts, are spread evenly for any number.
constexpr double goldenRatio = 0.6180339887498949;

// A request that the leader's share does not admit may come again after this time, and others are
// spread over the interval after it.
constexpr Milliseconds sharedRetryDelay { 500 };
constexpr Milliseconds sharedRetryInterval { 1000 };
// Errors of rounding must not turn a request away.
constexpr double tolerance = 1e-6;

} // namespace

const char *limitName(UpstreamPace::Limit limit)
{
    switch (limit) {
    case UpstreamPace::Limit::None:
        return "none";
    case UpstreamPace::Limit::Recovering:
        return "recovering";
    case UpstreamPace::Limit::Full:
        return "full";
    }
    return "unknown";
}

UpstreamPace::UpstreamPace(double phase)
    : phase(phase)
    , credit(phase)
{ }

void UpstreamPace::setFullRate(double perSecond, TimePoint now)
{
    this->fullPerSecond = perSecond;
    if (this->fullTokens) {
        this->fullTokens->setRate(perSecond * this->correction, now);
    }
}

void UpstreamPace::recordRefused(TimePoint now)
{
    ++this->refusalsInRow;
    if (!this->isFull(now)) {
        if (this->refusalsInRow < refusalsOfFull) {
            return;
        }
        if (now >= this->fullUntil + correctionLifetime) {
            this->correction = 1.0;
        }
        this->fullTokens = TokenBucket(this->phase, this->fullPerSecond * this->correction, now);
        this->nextDecrease = now + minDecreaseInterval;
    } else if (now >= this->nextDecrease) {
        this->correction = std::max(this->correction * decreaseFactor, minCorrection);
        this->nextDecrease = now + minDecreaseInterval;
        this->fullTokens->setRate(this->fullPerSecond * this->correction, now);
    }
    this->extendFull(now);
}

void UpstreamPace::extendFull(TimePoint now)
{
    const Milliseconds duration = std::clamp(this->fullTokens->interval() * fullIntervals,
                                             minFullDuration, maxFullDuration);
    this->fullUntil = std::max(this->fullUntil, now + duration);
}

void UpstreamPace::recordResponse(bool hasRoom, TimePoint now)
{
    this->refusalsInRow = 0;
    if (this->isFull(now) && hasRoom) {
        this->correction = std::min(this->correction + increase, maxCorrection);
        this->fullTokens->setRate(this->fullPerSecond * this->correction, now);
    }
}

UpstreamPace::Limit UpstreamPace::limit(TimePoint now) const
{
    if (this->isFull(now)) {
        return Limit::Full;
    }
    return this->isShared(now) && this->admitted->share < 1.0 ? Limit::Recovering : Limit::None;
}

Milliseconds UpstreamPace::timeLeft(TimePoint now) const
{
    Milliseconds left;
    if (this->isShared(now) && !this->hasCredit()) {
        left = sharedRetryDelay;
    }
    if (this->isFull(now)) {
        left = std::max(left, this->fullTokens->timeToToken(now));
    }
    return left;
}

bool UpstreamPace::hasCredit() const
{
    return this->credit + this->admitted->share >= 1.0 - tolerance;
}

// A request that had to be started without credit must not leave a debt for more than one other.
void UpstreamPace::takeShared()
{
    this->credit = std::max(this->credit + this->admitted->share - 1.0, -1.0);
}

void UpstreamPace::take(TimePoint now)
{
    this->turnedAway = 0;
    if (this->isShared(now)) {
        this->takeShared();
    }
    if (this->isFull(now)) {
        this->fullTokens->take(now);
    }
}

// The first request waits for the next token. The others come later than it, since there is only
// one.
Milliseconds UpstreamPace::turnAway(TimePoint now)
{
    const Milliseconds left = this->timeLeft(now);
    Milliseconds interval;
    if (this->isShared(now) && !this->hasCredit()) {
        this->credit += this->admitted->share;
        interval = sharedRetryInterval;
    } else if (this->isFull(now)) {
        this->extendFull(now);
        interval = this->fullTokens->interval();
    }
    double whole = 0.0;
    const double part = std::modf(goldenRatio * this->turnedAway++, &whole);
    return left + Milliseconds { std::llround(part * static_cast<double>(interval.count)) };
}

} // namespace cassiaroad
