#pragma once

#include "connection/httpserver.h"
#include "gateway/gatewaycore.h"

#include <variant>

namespace cassiaroad {

/**
 * Retry-After of a request without a configuration, a routing table or an upstream, as while the
 * control group is unavailable. A restart of the control group takes about as long.
 */
inline constexpr Milliseconds outageRetryAfter { 1000 };

/** A request of a client, and what the configuration tells of it. */
struct ClientRequest
{
    std::shared_ptr<HttpExchange> exchange;
    GatewayRequestId id = 0;
    TimePoint arrivedAt; // of the head
    TimePoint receivedAt; // of the whole request
    TimePoint responseDeadline;
    Milliseconds clientTimeout { 0 }; // time from arrival for which the client waits
    std::shared_ptr<const ActiveConfiguration> active; // keeps `route` valid
    const SiteRoute *route = nullptr; // null until the request is routed
    std::string service;
    bool keyed = false;
    std::optional<KeyNumber> key; // of a service with keys
    RequestDigest digest = 0;
    ClientId client = 0;
    bool isReturning = false; // after a refusal for lack of capacity

    /** Time left until the client must have its response. */
    Milliseconds timeLeft(TimePoint now) const;
    /** Longest Retry-After of a refusal: clients wait for a third of the time they have left. */
    Milliseconds maxRetryAfter(TimePoint now) const;
    /** Expected duration until the upstream's requests were measured. */
    Milliseconds defaultDuration() const;
    /**
     * Returns the regions in which the request may be served. While it waits, the configuration may
     * change to @p current: the homes of its route bind it as well as those of the route that it
     * would take now.
     */
    HomeRegions homes(const std::shared_ptr<const ActiveConfiguration> &current) const;
};

/** Why a request gets no upstream: no route, no key, or no configuration. */
struct RoutingRejection
{
    int status = 0;
    std::optional<Milliseconds> retryAfter; // of a refusal; see refusalOf()
    std::string reason;
};

/** The route of a request, and the configuration that it belongs to. */
struct RouteMatch
{
    std::shared_ptr<const ActiveConfiguration> active;
    const SiteRoute *route = nullptr; // valid as long as `active`
};

/** Finds the route for @p host and @p path, or why there is none. Loop thread only. */
std::variant<RouteMatch, RoutingRejection> matchRoute(const GatewayCore &core,
                                                      std::string_view host, std::string_view path);

/** Returns the request of @p exchange, which is not routed yet. Loop thread only. */
ClientRequest receivedRequest(GatewayCore &core, std::shared_ptr<HttpExchange> exchange);

/**
 * Finds the route, the service and the key of @p request. Returns why it cannot be routed, or
 * nothing. Loop thread only.
 */
std::optional<RoutingRejection> routeRequest(GatewayCore &core, ClientRequest &request);

} // namespace cassiaroad
