#include "version/coldpermits.h"

#include <algorithm>
#include <cmath>

namespace cassiaroad {

namespace {

constexpr double millisecondsPerSecond = 1000.0;
// Beyond a second and the lifetime of a permit: clocks that differ by 2 % in their speed, and the
// time between a gateway's look at its clock and the moment in which the first byte is written.
constexpr Milliseconds windowMargin { 100 };
constexpr Milliseconds second { 1000 };
constexpr Milliseconds grantWindow { second.count + coldPermitLifetime.count + windowMargin.count };
// Of the stated rate, so that the upstream has time left for what it gets at once.
constexpr double usedShare = 0.95;
// Of the limit of a window, at most; the rest may be granted at once.
constexpr double arisingShare = 0.9;
// Errors of rounding must not admit one permit more in a window.
constexpr double tolerance = 1e-3;
// The longest time after which a refused gateway is asked to come back.
constexpr Milliseconds maxRetryAfter { 2000 };

double toSeconds(Milliseconds span)
{
    return static_cast<double>(span.count) / millisecondsPerSecond;
}

} // namespace

ColdPermits::ColdPermits(ColdBounds bounds)
    : bounds(bounds)
{ }

void ColdPermits::startTerm(TimePoint now)
{
    this->termStart = now;
    this->buckets.clear();
}

void ColdPermits::Bucket::refill(TimePoint now)
{
    const double arisen = this->perSecond * toSeconds(std::max(now - this->updatedAt, {}));
    this->tokens = std::min(this->tokens + arisen, this->capacity);
    this->updatedAt = std::max(this->updatedAt, now);
}

// In a window, at most the capacity and what arises in it is granted: less than one more than the
// limit. The capacity is one token at least, if the limit allows any request.
ColdPermits::Bucket ColdPermits::newBucket(double statedRate, TimePoint grantsFrom,
                                           TimePoint now) const
{
    const double limit = std::floor(statedRate * this->bounds.over + this->bounds.slack);
    Bucket bucket;
    bucket.statedRate = statedRate;
    bucket.perSecond
            = std::min(statedRate * usedShare, limit * arisingShare / toSeconds(grantWindow));
    bucket.capacity = limit + 1.0 - tolerance - bucket.perSecond * toSeconds(grantWindow);
    if (limit < 1.0) {
        bucket.perSecond = 0.0;
        bucket.capacity = 0.0;
    }
    bucket.tokens = bucket.capacity;
    bucket.updatedAt = now;
    bucket.grantsFrom = grantsFrom;
    return bucket;
}

// What was granted by another rate may still be used for a window.
ColdPermits::Bucket &ColdPermits::bucketOf(const HostAddress &address, double statedRate,
                                           TimePoint now)
{
    const auto found = this->buckets.find(address);
    if (found == this->buckets.end()) {
        const TimePoint grantsFrom = this->termStart + grantWindow;
        return this->buckets[address] = this->newBucket(statedRate, grantsFrom, now);
    }
    if (found->second.statedRate != statedRate) {
        found->second = this->newBucket(statedRate, now + grantWindow, now);
    }
    return found->second;
}

PermitGrant ColdPermits::grant(const PermitAsk &ask, double statedRate, TimePoint now)
{
    Bucket &bucket = this->bucketOf(ask.address, statedRate, now);
    bucket.refill(now);
    PermitGrant result { ask.address, 0, {} };
    if (now >= bucket.grantsFrom) {
        const auto available = static_cast<std::uint32_t>(bucket.tokens);
        result.count = std::min(ask.count, available);
        bucket.tokens -= result.count;
        bucket.lastGrantAt = result.count > 0 ? now : bucket.lastGrantAt;
    }
    if (result.count < ask.count) {
        result.retryAfter = ColdPermits::retryAfter(bucket, now);
    }
    return result;
}

// Gateways that are refused one after the other come back one token after the other.
Milliseconds ColdPermits::retryAfter(Bucket &bucket, TimePoint now)
{
    if (bucket.perSecond <= 0.0) {
        return maxRetryAfter;
    }
    const double missing = std::max(1.0 - bucket.tokens, 0.0) / bucket.perSecond;
    const double interval = 1.0 / bucket.perSecond;
    const auto toMilliseconds = [](double seconds) {
        return Milliseconds { std::llround(std::ceil(seconds * millisecondsPerSecond)) };
    };
    const TimePoint next
            = std::max(now + toMilliseconds(std::min(missing, 2.0)), bucket.grantsFrom);
    const TimePoint spread = bucket.lastRetryAt + toMilliseconds(std::min(interval, 2.0));
    const TimePoint latest = std::max(now + maxRetryAfter, bucket.grantsFrom);
    bucket.lastRetryAt = std::clamp(spread, next, std::max(next, latest));
    return std::max(bucket.lastRetryAt - now, Milliseconds { 1 });
}

void ColdPermits::forgetIdle(TimePoint now)
{
    for (auto &[address, bucket] : this->buckets) {
        bucket.refill(now);
    }
    std::erase_if(this->buckets, [now](const auto &entry) {
        const Bucket &bucket = entry.second;
        return now >= bucket.grantsFrom && now >= bucket.lastGrantAt + grantWindow
               && bucket.tokens >= bucket.capacity;
    });
}

} // namespace cassiaroad
