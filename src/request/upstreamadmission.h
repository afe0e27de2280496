#pragma once

#include "request/concurrencylimit.h"

#include <map>
#include <optional>
#include <utility>

namespace cassiaroad {

/** Number of a request within its gateway. */
using GatewayRequestId = std::uint64_t;

/** A request that asks to be sent to an upstream. */
struct AdmissionRequest
{
    GatewayRequestId id = 0;
    std::uint32_t priority = 0; // 0 is the most urgent
    TimePoint responseDeadline; // a later answer is of no use
    Milliseconds usual { 100 }; // duration of a request, until some were seen
};

enum class AdmissionDecision {
    Start, // send it now; finish() must follow
    Wait, // next() returns it when there is room
    Refuse, // it could not be answered in time
};

/**
 * Requests of one gateway to one upstream: how many are in flight, and which of those that wait is
 * next. More urgent requests go first; among equals the oldest. Pure; not thread-safe.
 */
class UpstreamAdmission
{
public:
    UpstreamAdmission();

    /** Sets the most requests in flight; at least 1. */
    void setCapacity(std::uint32_t capacity);

    /** Decides about a request. */
    AdmissionDecision enter(const AdmissionRequest &ticket, TimePoint now);

    /** Takes the next waiting request if there is room; it counts as in flight. */
    std::optional<GatewayRequestId> next();

    /** Forgets a waiting request. */
    void remove(GatewayRequestId id);

    /** A request ended with an answer after @p duration. */
    void finish(Milliseconds duration) { this->limit.finish(duration); }
    /** The upstream refused a request because it is full. */
    void finishShed(TimePoint now) { this->limit.finishShed(now); }
    /** A request ended without an answer. */
    void finishWithoutAnswer() { this->limit.finishWithoutAnswer(); }

    /** Expected time until a request of @p priority could be answered. */
    Milliseconds expectedAnswer(std::uint32_t priority) const;
    Milliseconds typicalDuration() const;
    /** Whether typicalDuration() is measured. */
    bool hasMeasuredDuration() const { return this->limit.typicalDuration().count > 0; }
    std::uint32_t inFlight() const { return this->limit.inFlight(); }
    std::size_t waitingCount() const { return this->waiting.size(); }
    bool hasRoom() const { return this->waiting.empty() && this->limit.hasRoom(); }

private:
    using Place = std::pair<std::uint32_t, GatewayRequestId>; // ids ascend with time

    Milliseconds usual { 100 };
    ConcurrencyLimit limit;
    std::map<Place, AdmissionRequest> waiting;
};

} // namespace cassiaroad
