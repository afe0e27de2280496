#pragma once

#include "request/concurrencylimit.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cassiaroad {

/** Identifies a request within its gateway; later requests have higher numbers. */
using GatewayRequestId = std::uint64_t;

/** A request that is to be sent to an upstream. */
struct AdmissionRequest
{
    GatewayRequestId id = 0;
    std::uint32_t priority = 0; // 0 is the most urgent
    TimePoint responseDeadline; // a later response is of no use
    Milliseconds defaultDuration { 100 }; // of a request, until durations were measured
};

/** Decision about a request that was submitted. */
enum class AdmissionDecision {
    Start, // send it now; one of the finish functions must follow
    Wait, // next() returns it when there is capacity
    Refuse, // it would not get a response in time, or too many requests wait
};

/**
 * Admission of the requests of one gateway to one upstream: limits the number in flight and queues
 * the others. More urgent requests go first; among equals the oldest. Pure; not thread-safe.
 */
class UpstreamAdmission
{
public:
    UpstreamAdmission();

    /** Sets the maximum number of requests in flight; at least 1. */
    void setCapacity(std::uint32_t capacity);

    /** Decides whether a request is started, waits or is refused. */
    AdmissionDecision submit(const AdmissionRequest &admissionRequest, TimePoint now);

    /** Removes and returns the next request if there is capacity; it counts as in flight. */
    std::optional<GatewayRequestId> next();

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
    using QueuePosition = std::pair<std::uint32_t, GatewayRequestId>; // priority, id

    Milliseconds defaultDuration { 100 };
    ConcurrencyLimit limit;
    std::map<QueuePosition, AdmissionRequest> waiting;
};

} // namespace cassiaroad
