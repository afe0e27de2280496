#pragma once

#include "process/clock.h"
#include "request/clientshares.h"

#include <optional>
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
    ClientId client = 0;
    bool isReturning = false; // it was refused before; see RefusedRequests
};

/**
 * Requests that wait for one upstream, and the order in which they are given to it: the most urgent
 * first; among equals those that return after a refusal; then those of the clients that have had
 * the fewest requests served lately; then by deadline. Pure; not thread-safe.
 */
class WaitingRequests
{
public:
    void add(const AdmissionRequest &request) { this->waiting.push_back(request); }
    /** Removes a request; does nothing if it does not wait. */
    void remove(GatewayRequestId id);
    /** Removes and returns the first request; it counts for the share of its client. */
    std::optional<AdmissionRequest> takeFirst(TimePoint now);
    /** Removes all requests and returns them in their order. */
    std::vector<AdmissionRequest> takeAll(TimePoint now);

    /** Returns the requests in their order. */
    std::vector<AdmissionRequest> ordered(TimePoint now) const;
    /** Number of requests that are as urgent as @p priority, or more. */
    std::size_t countUpTo(std::uint32_t priority) const;
    std::size_t size() const { return this->waiting.size(); }
    bool empty() const { return this->waiting.empty(); }

private:
    std::vector<AdmissionRequest> waiting;
    ClientShares shares;
};

} // namespace cassiaroad
