#pragma once

#include "gateway/gatewaycore.h"
#include "gateway/routepreviewnames.h"

#include <optional>
#include <string>
#include <vector>

namespace cassiaroad {

/** A request that is asked about and not sent. */
struct RouteQuestion
{
    std::string host;
    std::string path;
    std::optional<KeyNumber> key;
};

/** What a gateway would do with a request now. */
enum class RouteVerdict {
    Send, // to one of the candidates that are ready
    Wait, // at the gateway, for its upstream or another owner of its key
    Refuse,
};

/** An upstream that could serve the request. */
struct CandidatePreview
{
    std::string upstream; // id
    std::string zone;
    std::string state; // "ready", or why it would not get the request
    double cost = 0.0; // see GatewayUpstream::cost()
    std::size_t waiting = 0; // requests of this gateway in its queue
    Milliseconds startsAfter { 0 }; // time left of its pause, or until its pace allows a request
    std::optional<std::uint16_t> admitted; // see RoutedUpstream::admitted
    bool isInSubset = false; // of the gateway; false if it uses none

    bool operator==(const CandidatePreview &) const = default;
};

/** What would become of a request for one service of the route. */
struct ServicePreview
{
    std::string service;
    double weight = 1.0; // in proportion to which requests go to the services of the route
    RouteVerdict verdict = RouteVerdict::Refuse;
    std::string reason;
    std::vector<CandidatePreview> candidates; // with a key its owner, otherwise all upstreams

    bool operator==(const ServicePreview &) const = default;
};

/** Where a request would go, and why. */
struct RoutePreview
{
    ConfigurationVersion version = 0;
    std::string route; // host and path prefix; empty: none, see `reason`
    std::string reason;
    std::vector<ServicePreview> services;

    bool operator==(const RoutePreview &) const = default;
};

/**
 * Returns where a request would go now, and why. Sends nothing, counts nothing and takes no share
 * of a paced upstream. What depends on the body or on the client is left out. Loop thread only.
 */
RoutePreview previewRoute(GatewayCore &core, const RouteQuestion &question);

/** Returns the name of @p verdict. Thread-safe. */
const char *verdictName(RouteVerdict verdict);

/** Returns @p preview as a JSON document. Thread-safe. */
std::string toJson(const RoutePreview &preview);

} // namespace cassiaroad
