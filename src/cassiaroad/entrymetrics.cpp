#include "cassiaroad/entrymetrics.h"

namespace cassiaroad {

namespace {

// Seconds.
const std::vector<double> durationBuckets { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                            0.2,   0.5,   1.0,   2.0,  5.0,  10.0 };

} // namespace

EntryMetrics::EntryMetrics(const Settings &settings)
    : badRequests(this->metrics.counter("cassiaroad_bad_requests_total",
                                        "Requests without a service or key"))
{
    for (const ServiceSettings &service : settings.services) {
        Service entry;
        for (const char *outcome : { "answered", "not-run", "unknown" }) {
            entry.requestCounters[outcome] = &this->metrics.counter(
                    "cassiaroad_requests_total", "Requests that ended, by outcome",
                    { { "service", service.name }, { "outcome", outcome } });
        }
        entry.seconds = &this->metrics.histogram("cassiaroad_request_seconds",
                                                 "Time from the arrival of a request to its end",
                                                 durationBuckets, { { "service", service.name } });
        this->services.emplace(service.name, std::move(entry));
    }
}

void EntryMetrics::countEnd(const std::string &service, const RequestOutcome &outcome,
                            Milliseconds duration)
{
    const Service &entry = this->services.at(service);
    entry.requestCounters.at(outcomeHeaderValue(outcome))->Increment();
    entry.seconds->Observe(static_cast<double>(duration.count) / 1000.0);
}

void EntryMetrics::setState(const State &state)
{
    const auto set = [this](const char *name, const char *help, double value) {
        this->metrics.gauge(name, help).Set(value);
    };
    set("cassiaroad_entry_lease", "1 while the entry host may route", state.hasLease ? 1 : 0);
    set("cassiaroad_route_revision", "Revision of the route table",
        static_cast<double>(state.revision));
    set("cassiaroad_drained_revision", "Revision up to which requests have drained",
        static_cast<double>(state.drainedRevision));
    set("cassiaroad_open_requests", "Requests of callers that have no answer yet",
        static_cast<double>(state.openRequests));
    set("cassiaroad_held_requests", "Requests that wait for an owner or a lease",
        static_cast<double>(state.requestsWaitingForOwner));
    set("cassiaroad_caller_connections", "Open connections of callers",
        static_cast<double>(state.callerConnections));
    set("cassiaroad_retries", "Requests sent again so far", static_cast<double>(state.retries));
    // Members of the control group may be in another region, so these bytes may use the link
    // between regions.
    const char *help = "Bytes to and from control members of any region";
    this->metrics.gauge("cassiaroad_control_bytes", help, { { "direction", "sent" } })
            .Set(static_cast<double>(state.controlBytesSent));
    this->metrics.gauge("cassiaroad_control_bytes", help, { { "direction", "received" } })
            .Set(static_cast<double>(state.controlBytesReceived));
}

void EntryMetrics::setUpstream(const UpstreamId &upstream, std::uint32_t limit,
                               std::uint32_t inFlight, std::size_t queued,
                               std::uint64_t silentConnections)
{
    const Metrics::Labels labels { { "service", upstream.service }, { "upstream", upstream.name } };
    this->metrics.gauge("cassiaroad_upstream_limit", "Requests that may be in flight", labels)
            .Set(limit);
    this->metrics.gauge("cassiaroad_upstream_in_flight", "Requests in flight", labels)
            .Set(inFlight);
    this->metrics.gauge("cassiaroad_upstream_queued", "Requests that wait", labels)
            .Set(static_cast<double>(queued));
    this->metrics
            .gauge("cassiaroad_upstream_silent_connections", "Connections found silent so far",
                   labels)
            .Set(static_cast<double>(silentConnections));
}

} // namespace cassiaroad
