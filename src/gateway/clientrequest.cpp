#include "gateway/clientrequest.h"

#include "connection/refusalstatus.h"
#include "gateway/requestdigest.h"
#include "process/parsenumber.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;

constexpr Milliseconds defaultClientTimeout { 10000 };
constexpr Milliseconds durationWithoutRoute { 100 };

// A configuration that the leader confirmed longer ago may lack routes that are in force. In calm
// the leader confirms it within the watch timeout of at most a second and a round trip.
constexpr Milliseconds maxConfirmationAge { 2000 };

// A route that the gateway does not know may have been added since the leader last confirmed the
// configuration.
RoutingRejection unknownRoute(const GatewayCore &core)
{
    if (core.now() - core.view().confirmedAt > maxConfirmationAge) {
        return { statusUnavailable, outageRetryAfter,
                 "no route in a configuration that may be old" };
    }
    return { statusNotFound, std::nullopt, "no route" };
}

std::optional<RoutingRejection> findRoute(GatewayCore &core, ClientRequest &request)
{
    const ExternalHeaders &names = core.externalCodec().headers();
    if (const auto wait = parseNumber<std::int64_t>(request.exchange->header(names.deadline))) {
        request.clientTimeout = { std::max<std::int64_t>(*wait, 1) };
    }
    request.responseDeadline = request.arrivedAt + request.clientTimeout;
    auto match = matchRoute(core, request.exchange->header("host"), request.exchange->path());
    if (auto *rejection = std::get_if<RoutingRejection>(&match)) {
        return std::move(*rejection);
    }
    request.active = std::move(std::get<RouteMatch>(match).active);
    request.route = std::get<RouteMatch>(match).route;
    request.responseDeadline
            = request.arrivedAt + std::min(request.clientTimeout, request.route->timeout);
    request.service = core.chooseService(*request.route);
    request.keyed = request.active->configuration.services.at(request.service).keyed;
    return std::nullopt;
}

std::optional<RoutingRejection> readKey(const GatewayCore &core, ClientRequest &request)
{
    if (!request.keyed) {
        return std::nullopt;
    }
    const std::string &header = core.externalCodec().headers().key;
    request.key = parseNumber<KeyNumber>(request.exchange->header(header));
    if (!request.key || *request.key > lastKey) {
        return RoutingRejection { statusBadRequest, std::nullopt, "no key" };
    }
    return std::nullopt;
}

} // namespace

Milliseconds ClientRequest::timeLeft(TimePoint now) const
{
    return std::max(this->responseDeadline - now, Milliseconds {});
}

Milliseconds ClientRequest::maxRetryAfter(TimePoint now) const
{
    return std::max((this->clientTimeout - (now - this->arrivedAt)) / 3, Milliseconds {});
}

// Target latencies are set so that most responses arrive well within them.
Milliseconds ClientRequest::defaultDuration() const
{
    return this->route != nullptr ? this->route->targetLatency / 3 : durationWithoutRoute;
}

HomeRegions ClientRequest::homes(const std::shared_ptr<const ActiveConfiguration> &current) const
{
    if (current == this->active) {
        return this->route->homes;
    }
    const SiteRoute *now
            = current->routes.find(this->exchange->header("host"), this->exchange->path());
    return now == nullptr ? this->route->homes : this->route->homes.intersectedWith(now->homes);
}

std::variant<RouteMatch, RoutingRejection> matchRoute(const GatewayCore &core,
                                                      std::string_view host, std::string_view path)
{
    if (core.refusesNewRequests()) {
        return RoutingRejection { statusUnavailable, durationWithoutRoute, "gateway stops" };
    }
    const std::shared_ptr<const ActiveConfiguration> &active = core.view().active;
    if (!active) {
        return RoutingRejection { statusUnavailable, outageRetryAfter, "no configuration yet" };
    }
    const SiteRoute *route = active->routes.find(host, path);
    if (route == nullptr) {
        return unknownRoute(core);
    }
    return RouteMatch { active, route };
}

ClientRequest receivedRequest(GatewayCore &core, std::shared_ptr<HttpExchange> exchange)
{
    ClientRequest request;
    request.exchange = std::move(exchange);
    request.id = core.nextRequestId();
    request.arrivedAt = request.exchange->arrivedAt();
    request.receivedAt = core.now();
    request.clientTimeout = defaultClientTimeout;
    request.responseDeadline = request.arrivedAt + defaultClientTimeout;
    return request;
}

std::optional<RoutingRejection> routeRequest(GatewayCore &core, ClientRequest &request)
{
    if (std::optional<RoutingRejection> rejection = findRoute(core, request)) {
        return rejection;
    }
    if (std::optional<RoutingRejection> rejection = readKey(core, request)) {
        return rejection;
    }
    request.digest = digestOf(*request.exchange, core.externalCodec().headers().key);
    request.client = clientOf(*request.exchange);
    request.isReturning
            = core.refusedRequests().takeReturning(request.client, request.digest, core.now());
    return std::nullopt;
}

} // namespace cassiaroad
