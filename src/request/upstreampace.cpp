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
constexpr Milliseconds second { 1000 };
// Errors of rounding must not turn a request away.
constexpr double tolerance = 1e-6;

} // namespace

const char *limitName(UpstreamPace::Limit limit)
{
    switch (limit) {
    case UpstreamPace::Limit::None:
        return "none";
    case UpstreamPace::Limit::Cold:
        return "cold";
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

void UpstreamPace::setCold(const std::optional<ColdLimit> &value, TimePoint now)
{
    if (!value) {
        this->coldTokens.reset();
        return;
    }
    const bool wasCold = this->isCold(now);
    if (wasCold) {
        this->coldTokens = this->coldTokensAt(now);
    }
    this->cold = *value;
    const double rate = value->sitePerSecond * value->share.at(now);
    if (wasCold) {
        this->coldTokens->setRate(rate, now);
    } else {
        this->coldTokens = TokenBucket(this->phase, rate, TokenBucket::Unused::Expires, now);
    }
}

// Returns the tokens with the present rate: the share of the gateway changes as its lease ends.
TokenBucket UpstreamPace::coldTokensAt(TimePoint now) const
{
    return this->coldTokens->withRate(this->cold.sitePerSecond * this->cold.share.at(now));
}

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
        this->fullTokens = TokenBucket(this->phase, this->fullPerSecond * this->correction,
                                       TokenBucket::Unused::Stays, now);
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
    if (this->isCold(now)) {
        return Limit::Cold;
    }
    if (this->isFull(now)) {
        return Limit::Full;
    }
    return this->isShared(now) && this->admitted->share < 1.0 ? Limit::Recovering : Limit::None;
}

Milliseconds UpstreamPace::timeLeft(TimePoint now) const
{
    Milliseconds left;
    if (this->isShared(now)) {
        left = this->shareTimeLeft(now);
    } else if (this->isCold(now)) {
        left = std::min(this->coldTokensAt(now).timeToToken(now), this->cold.until - now);
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

Milliseconds UpstreamPace::shareTimeLeft(TimePoint now) const
{
    const std::size_t most = this->admitted->maxPerSecond;
    const bool isBounded = most > 0 && this->started.size() >= most
                           && now - this->started[this->started.size() - most] < second;
    return this->hasCredit() && !isBounded ? Milliseconds {} : sharedRetryDelay;
}

// A request that had to be started without credit must not leave a debt for more than one other.
void UpstreamPace::takeShared(TimePoint now)
{
    this->credit = std::max(this->credit + this->admitted->share - 1.0, -1.0);
    if (this->admitted->maxPerSecond > 0) {
        this->started.push_back(now);
        if (this->started.size() > this->admitted->maxPerSecond) {
            const auto excess = this->started.size() - this->admitted->maxPerSecond;
            this->started.erase(this->started.begin(),
                                this->started.begin() + static_cast<std::ptrdiff_t>(excess));
        }
    }
}

void UpstreamPace::take(TimePoint now)
{
    this->turnedAway = 0;
    if (this->isShared(now)) {
        this->takeShared(now);
    } else if (this->isCold(now)) {
        this->coldTokens = this->coldTokensAt(now);
        this->coldTokens->take(now);
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
    if (this->isShared(now) && left > Milliseconds {}) {
        this->credit += this->hasCredit() ? 0.0 : this->admitted->share;
        interval = sharedRetryInterval;
    } else if (this->isFull(now)) {
        this->extendFull(now);
        interval = this->fullTokens->interval();
    } else if (this->isCold(now)) {
        interval = this->coldTokensAt(now).interval();
    }
    double whole = 0.0;
    const double part = std::modf(goldenRatio * this->turnedAway++, &whole);
    return left + Milliseconds { std::llround(part * static_cast<double>(interval.count)) };
}

} // namespace cassiaroad
