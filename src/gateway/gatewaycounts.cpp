#include "gateway/gatewaycore.h"

// What GatewayCore counts in the metrics.

namespace cassiaroad {

namespace {

// Buckets of the histograms of durations.
const std::vector<double> secondsBuckets { 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4,
                                           0.6,  0.8,   1.0,  1.5, 2.0, 3.0, 5.0 };

const char *kindName(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Safe:
        return "safe";
    case RouteKind::Unsafe:
        return "unsafe";
    case RouteKind::Upload:
        return "upload";
    case RouteKind::Download:
        return "download";
    }
    return "unknown";
}

double toSeconds(Milliseconds span)
{
    return static_cast<double>(span.count) / 1000.0;
}

} // namespace

void GatewayCore::countRepeat(const std::string &service, bool isAllowed)
{
    this->metrics
            .counter("cassiaroad_gateway_repeats_total",
                     "Repetitions of requests that may have reached an upstream, by service and "
                     "whether the retry budget allowed them.",
                     { { "service", service }, { "allowed", isAllowed ? "yes" : "no" } })
            .Increment();
}

void GatewayCore::countPaced(const GatewayUpstream &upstream)
{
    const bool isRecovering
            = upstream.pace().limit(this->loop.now()) == UpstreamPace::Limit::Recovering;
    const char *reason = isRecovering ? "recovering" : "full"; // it may have ended since
    if (!this->cold.admits(upstream)) {
        reason = "cold";
    }
    this->metrics
            .counter("cassiaroad_gateway_paced_total",
                     "Requests that the pace of a cold, recovering or full upstream did not let "
                     "start "
                     "at once.",
                     { { "service", upstream.upstream().service }, { "upstream", reason } })
            .Increment();
}

void GatewayCore::countQueueRefusal(const std::string &service)
{
    this->metrics
            .counter("cassiaroad_gateway_queue_refusals_total",
                     "Requests that were refused while they waited for capacity of an upstream, "
                     "since "
                     "no time was left for them, by service.",
                     { { "service", service } })
            .Increment();
}

void GatewayCore::countReturning(const std::string &service)
{
    this->metrics
            .counter("cassiaroad_gateway_returning_total",
                     "Requests that returned after a refusal for lack of capacity, by service.",
                     { { "service", service } })
            .Increment();
}

void GatewayCore::countOutcome(RouteKind kind, const std::string &outcome, Milliseconds total,
                               Milliseconds queuedDuration)
{
    const std::string name = kindName(kind);
    this->metrics
            .counter("cassiaroad_gateway_requests_total", "Requests by kind of route and outcome.",
                     { { "kind", name }, { "outcome", outcome } })
            .Increment();
    this->metrics
            .histogram("cassiaroad_gateway_seconds", "Time from a request's arrival to its answer.",
                       secondsBuckets, { { "kind", name } })
            .Observe(toSeconds(total));
    this->metrics
            .histogram("cassiaroad_gateway_queue_seconds",
                       "Time that a request waited in the gateway.", secondsBuckets,
                       { { "kind", name } })
            .Observe(toSeconds(queuedDuration));
}

} // namespace cassiaroad
