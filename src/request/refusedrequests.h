#pragma once

#include "process/clock.h"
#include "request/clientshares.h"

#include <deque>
#include <unordered_map>

namespace cassiaroad {

/**
 * Requests that were refused for lack of capacity and may be retried, so that they can be told from
 * new ones. Each refusal is remembered until its request returns, or until its Retry-After and a
 * margin have passed. Pure; not thread-safe.
 */
class RefusedRequests
{
public:
    /** Refusals that are remembered at most; the oldest are forgotten first. */
    static constexpr std::size_t maxCount = 4096;

    /** A request of @p client was refused, and may be retried @p retryAfter later. */
    void recordRefusal(ClientId client, std::uint64_t digest, Milliseconds retryAfter,
                       TimePoint now);

    /**
     * A request has arrived. Returns whether it is the retry of a refused one, which is then
     * forgotten. A retry that does not wait for its Retry-After is a new request: otherwise clients
     * that repeat at once would go before all others.
     */
    bool takeReturning(ClientId client, std::uint64_t digest, TimePoint now);

    std::size_t size() const { return this->refusals.size(); }

private:
    using Key = std::uint64_t; // of the client and the digest

    /** When the retry of a request is expected. */
    struct Refusal
    {
        TimePoint earliest;
        TimePoint latest;
    };

    void forgetOld(TimePoint now);

    std::unordered_map<Key, Refusal> refusals;
    std::deque<std::pair<Key, TimePoint>> order; // of the refusals; the time is `latest`
};

} // namespace cassiaroad
