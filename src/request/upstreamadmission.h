#pragma once

#include "request/concurrencylimit.h"
#include "request/waitingrequests.h"

#include <random>

namespace cassiaroad {

/** Decision about a request that was submitted. */
enum class AdmissionDecision {
    Start, // send it now; one of the finish functions must follow
    Wait, // next() returns it when there is capacity
    Refuse, // it would not get a response in time, or too many requests wait
};

/**
 * Admission of the requests of one gateway to one upstream: limits the number in flight and queues
 * the others in the order of WaitingRequests. Requests that cannot get a response in time are
 * refused, also when others that arrive later go before them. Pure; not thread-safe.
 */
class UpstreamAdmission
{
public:
    UpstreamAdmission();

    /** Sets the maximum number of requests in flight; at least 1. */
    void setCapacity(std::uint32_t capacity);

    /**
     * Decides whether a request is started, waits or is refused. If it waits, others may have
     * become late; see takeLate().
     */
    AdmissionDecision submit(const AdmissionRequest &admissionRequest, TimePoint now);

    /**
     * Removes and returns the next request if there is capacity; it counts as in flight. The time
     * is that of the last submit() or takeLate().
     */
    std::optional<GatewayRequestId> next();

    /**
     * Removes and returns the waiting requests that no longer get a response in time, and those for
     * which there is no room left in the queue. Must be called when a request has joined the queue,
     * and before next().
     */
    std::vector<GatewayRequestId> takeLate(TimePoint now);

    /**
     * Returns after which time a refused request of @p priority may be retried, at most @p longest
     * later: when capacity for it is expected, at random within the time that the upstream needs
     * for the other refused requests that are expected back.
     */
    Milliseconds drawRetryAfter(std::uint32_t priority, Milliseconds longest, TimePoint now,
                                std::mt19937_64 &random);

    /** Removes and returns all waiting requests in their order; none counts as in flight. */
    std::vector<GatewayRequestId> takeWaiting();

    /** Removes a waiting request; does nothing if it does not wait. */
    void remove(GatewayRequestId id);

    /** A request ended with a response after @p duration. */
    void finish(Milliseconds duration) { this->limit.finish(duration); }
    /** The upstream refused a request because it is full. */
    void finishShed(TimePoint now) { this->limit.finishShed(now); }
    /** A request ended without a response. */
    void finishWithoutResponse() { this->limit.finishWithoutResponse(); }

    /** Expected time until a new request of @p priority has its response. */
    Milliseconds expectedResponseTime(std::uint32_t priority) const;
    /** Smoothed duration of a request, or the default duration of the last one submitted. */
    Milliseconds typicalDuration() const;
    /** Whether typicalDuration() is measured. */
    bool hasMeasuredDuration() const { return this->limit.typicalDuration().count > 0; }
    std::uint32_t inFlight() const { return this->limit.inFlight(); }
    std::size_t waitingCount() const { return this->waiting.size(); }
    /** Whether a new request would be started at once. */
    bool hasCapacity() const { return this->waiting.empty() && this->limit.hasCapacity(); }

private:
    /** A refused request that is expected to be retried. */
    struct ExpectedRetry
    {
        TimePoint at;
        std::uint32_t priority = 0;
    };

    Milliseconds timeToServe(std::size_t requests) const;

    Milliseconds defaultDuration { 100 };
    ConcurrencyLimit limit;
    WaitingRequests waiting;
    std::vector<ExpectedRetry> retries;
    TimePoint lastEventAt;
};

} // namespace cassiaroad
