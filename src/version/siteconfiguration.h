#pragma once

#include "process/clock.h"
#include "version/homeregions.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassiaroad {

/** Version of a configuration; each accepted one is higher than its predecessor. */
using ConfigurationVersion = std::uint32_t;

/** Whether a failed request of a route may be repeated. */
enum class RouteKind {
    Safe, // idempotent: may run more than once
    Unsafe, // may run at most once for each attempt of a client
    Upload, // as Unsafe, with a large body
    Download, // as Safe, with a large response
};

/** Whether a request of a route of this kind may run more than once. */
constexpr bool isIdempotent(RouteKind kind)
{
    return kind == RouteKind::Safe || kind == RouteKind::Download;
}

/** How the upstreams of a keyed service receive their leases. */
enum class LeaseDelivery {
    Heartbeat, // in the response to a heartbeat
    Call, // by calls of the leader to each upstream
};

/** A service of a route; its share of the requests is in proportion to its weight. */
struct WeightedService
{
    std::string service;
    double weight = 1.0;

    bool operator==(const WeightedService &) const = default;
};

/** Services and limits for the requests to one host and path prefix. */
struct SiteRoute
{
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    RouteKind kind = RouteKind::Unsafe;
    Milliseconds timeout { 1000 }; // upper bound of the time until the client has a response
    Milliseconds targetLatency { 500 }; // a later response is worth less to the client
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t attempts = 1; // how many upstreams a request may be sent to
    std::vector<WeightedService> services; // at least one
    HomeRegions homes; // where its requests may be served

    bool operator==(const SiteRoute &) const = default;
};

/** A group of upstreams that serve the same requests. */
struct SiteService
{
    std::string healthPath;
    std::uint32_t maxConnections = 100; // to one upstream, from all callers together
    bool keyed = false; // each key is owned by one upstream
    Milliseconds warmupDuration { 0 }; // how long keys are slow after a move without a handover
    LeaseDelivery leaseDelivery = LeaseDelivery::Heartbeat;
    Milliseconds coldDuration { 0 }; // how long an upstream is cold after its start; 0: not stated
    double coldRate = 0.0; // requests/s that a cold upstream can handle; 0: not stated

    bool operator==(const SiteService &) const = default;
};

/** Limits of the size and duration of what a client sends. */
struct ClientLimits
{
    std::uint64_t maxHeaderBytes = 16384;
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    Milliseconds headerTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    bool operator==(const ClientLimits &) const = default;
};

/** Routes and services of a site. Immutable after it was decoded. */
struct SiteConfiguration
{
    ConfigurationVersion version = 0;
    std::map<std::string, SiteRoute> routes; // by name
    std::map<std::string, SiteService> services; // by name
    ClientLimits limits;

    bool operator==(const SiteConfiguration &) const = default;
};

/** Returns why @p configuration is invalid, or nothing if it is valid. Thread-safe. */
std::optional<std::string> findConfigurationError(const SiteConfiguration &configuration);

/**
 * Returns the regions that all routes to @p service allow. Any region if the routes contradict each
 * other, since no region suits them all. Thread-safe.
 */
HomeRegions homesOfService(const SiteConfiguration &configuration, const std::string &service);

/** Looks up the route of a request. Immutable; thread-safe. */
class RouteIndex
{
public:
    /** Precondition: @p configuration is valid and outlives the index. */
    explicit RouteIndex(const SiteConfiguration &configuration);

    /**
     * Returns the route of @p host with the longest prefix of @p path, or null. @p host may contain
     * a port; its case is ignored.
     */
    const SiteRoute *find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::map<std::string, const SiteRoute *>, std::less<>> hosts;
};

} // namespace cassiaroad
