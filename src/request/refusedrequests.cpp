#include "request/refusedrequests.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// A retry needs a round trip, and often a new connection, beyond its Retry-After.
constexpr Milliseconds lateMargin { 1000 };
// Clients round Retry-After, and their timers are early at times.
constexpr Milliseconds earlyMargin { 20 };

std::uint64_t keyOf(ClientId client, std::uint64_t digest)
{
    // The multiplier of Fibonacci hashing spreads consecutive client ids over all bits.
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    return digest ^ (client * multiplier);
}

} // namespace

void RefusedRequests::recordRefusal(ClientId client, std::uint64_t digest, Milliseconds retryAfter,
                                    TimePoint now)
{
    this->forgetOld(now);
    const Key key = keyOf(client, digest);
    const Milliseconds early = std::max(retryAfter - earlyMargin, Milliseconds {});
    const Refusal refusal { now + early, now + retryAfter + lateMargin };
    this->refusals.insert_or_assign(key, refusal);
    this->order.emplace_back(key, refusal.latest);
}

bool RefusedRequests::takeReturning(ClientId client, std::uint64_t digest, TimePoint now)
{
    const auto found = this->refusals.find(keyOf(client, digest));
    if (found == this->refusals.end() || now < found->second.earliest) {
        return false;
    }
    const bool isInTime = now <= found->second.latest;
    this->refusals.erase(found);
    return isInTime;
}

void RefusedRequests::forgetOld(TimePoint now)
{
    while (!this->order.empty()
           && (this->order.size() >= maxCount || this->order.front().second < now)) {
        const auto [key, latest] = this->order.front();
        this->order.pop_front();
        const auto found = this->refusals.find(key);
        // A later refusal of the same request has an entry of its own.
        if (found != this->refusals.end() && found->second.latest == latest) {
            this->refusals.erase(found);
        }
    }
}

} // namespace cassiaroad
