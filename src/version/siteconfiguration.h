#pragma once

#include "process/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassiaroad {

/** Number of a configuration; each accepted one is above its predecessor. */
using ConfigurationVersion = std::uint32_t;

/** What may be repeated when a request fails. */
enum class RouteKind {
    Safe, // idempotent: may run more than once
    Unsafe, // runs at most once for each attempt of a client
    Upload, // as Unsafe, with a large body
};

/** One of the services of a route and its share of the requests. */
struct WeightedService
{
    std::string service;
    double weight = 1.0;

    bool operator==(const WeightedService &) const = default;
};

/** Requests for one host and path prefix. */
struct SiteRoute
{
    std::string host;
    std::string pathPrefix; // begins and ends with a slash
    RouteKind kind = RouteKind::Unsafe;
    Milliseconds timeout { 1000 }; // longest time that a client is kept waiting
    Milliseconds targetLatency { 500 }; // a later answer is worth less to the client
    std::uint32_t priority = 0; // 0 is the most urgent
    std::uint32_t attempts = 1; // upstreams that one request may be sent to
    std::vector<WeightedService> services; // at least one

    bool operator==(const SiteRoute &) const = default;
};

/** A group of upstreams that serve the same requests. */
struct SiteService
{
    std::string healthPath;
    std::uint32_t maxConnections = 100; // to one upstream, from all callers together
    bool keyed = false; // each key is held by one upstream
    Milliseconds warmupDuration { 0 }; // how long keys without a handover are slow

    bool operator==(const SiteService &) const = default;
};

/** What a client may send, and how long it may take. */
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

/** Returns why @p configuration cannot be put in force, or nothing if it can. Thread-safe. */
std::optional<std::string> findConfigurationError(const SiteConfiguration &configuration);

/** Finds the route of a request. Immutable; thread-safe. */
class RouteIndex
{
public:
    /** Precondition: @p configuration has no fault and outlives the index. */
    explicit RouteIndex(const SiteConfiguration &configuration);

    /**
     * Returns the route of @p host whose prefix is the longest that begins @p path, or null. @p
     * host may contain a port; its case is ignored.
     */
    const SiteRoute *find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::map<std::string, const SiteRoute *>, std::less<>> hosts;
};

} // namespace cassiaroad
