#pragma once

#include "cassiaroad/entryrequest.h"
#include "process/metrics.h"

#include <map>
#include <string>

namespace cassiaroad {

/** Metrics of an entry host. Loop thread only. */
class EntryMetrics
{
public:
    explicit EntryMetrics(const Settings &settings);

    Metrics &registry() { return this->metrics; }

    /** Counts a request of @p service that has ended, and its duration. */
    void countEnd(const std::string &service, const RequestOutcome &outcome, Milliseconds duration);

    /** Counts a request that was refused because it could not be read or routed. */
    void countBadRequest() { this->badRequests.Increment(); }

    /** State of the entry host for gauges, collected when the metrics are read. */
    struct State
    {
        bool hasLease = false;
        Revision revision = 0;
        Revision drainedRevision = 0;
        std::size_t openRequests = 0;
        std::size_t requestsWaitingForOwner = 0;
        std::size_t callerConnections = 0;
        std::uint64_t retries = 0;
        std::uint64_t controlBytesSent = 0;
        std::uint64_t controlBytesReceived = 0;
    };
    void setState(const State &state);

    /** Sets the gauges of one upstream. */
    void setUpstream(const UpstreamId &upstream, std::uint32_t limit, std::uint32_t inFlight,
                     std::size_t queued, std::uint64_t silentConnections);

private:
    struct Service
    {
        std::map<std::string, prometheus::Counter *> requestCounters; // by outcome
        prometheus::Histogram *seconds; // durations of requests
    };

    Metrics metrics;
    std::map<std::string, Service> services;
    prometheus::Counter &badRequests;
};

} // namespace cassiaroad
