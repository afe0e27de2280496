#include "version/siteconfiguration.h"

#include "process/lowercase.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cassiaroad {

namespace {

// Returns why the services of @p route are invalid, or nothing.
std::optional<std::string> findServiceError(const SiteConfiguration &configuration,
                                            const SiteRoute &route)
{
    if (route.services.empty()) {
        return "names no service";
    }
    double sum = 0.0;
    for (const WeightedService &part : route.services) {
        if (!configuration.services.contains(part.service)) {
            return "names the unknown service " + part.service;
        }
        if (!(part.weight >= 0.0)) {
            return "has a weight below 0";
        }
        sum += part.weight;
    }
    if (sum <= 0.0) {
        return "has no weight above 0";
    }
    return std::nullopt;
}

// Returns why @p route is invalid, or nothing.
std::optional<std::string> findRouteError(const SiteConfiguration &configuration,
                                          const SiteRoute &route)
{
    const std::string &prefix = route.pathPrefix;
    if (route.host.empty()) {
        return "has no host";
    }
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
        return "has a prefix that does not begin and end with a slash";
    }
    if (route.timeout.count <= 0) {
        return "has no timeout";
    }
    if (route.attempts == 0) {
        return "allows no attempt";
    }
    return findServiceError(configuration, route);
}

std::string withoutPort(std::string_view host)
{
    return lowerCase(host.substr(0, host.find(':')));
}

} // namespace

std::optional<std::string> findConfigurationError(const SiteConfiguration &configuration)
{
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const auto &[name, route] : configuration.routes) {
        if (const auto error = findRouteError(configuration, route)) {
            return "route " + name + " " + *error;
        }
        if (!hostsAndPrefixes.emplace(lowerCase(route.host), route.pathPrefix).second) {
            return "route " + name + " has the host and prefix of another route";
        }
    }
    return std::nullopt;
}

HomeRegions homesOfService(const SiteConfiguration &configuration, const std::string &service)
{
    HomeRegions homes;
    for (const auto &[name, route] : configuration.routes) {
        const bool usesService
                = std::any_of(route.services.begin(), route.services.end(),
                              [&](const WeightedService &part) { return part.service == service; });
        if (usesService) {
            homes = homes.intersectedWith(route.homes);
        }
    }
    return homes.isEmpty() ? HomeRegions() : homes;
}

RouteIndex::RouteIndex(const SiteConfiguration &configuration)
{
    for (const auto &[name, route] : configuration.routes) {
        this->hosts[lowerCase(route.host)][route.pathPrefix] = &route;
    }
}

const SiteRoute *RouteIndex::find(std::string_view host, std::string_view path) const
{
    const auto routes = this->hosts.find(withoutPort(host));
    if (routes == this->hosts.end()) {
        return nullptr;
    }
    std::string_view prefix = path.substr(0, path.find('?'));
    while (!prefix.empty()) {
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto found = routes->second.find(std::string(prefix.substr(0, slash + 1)));
        if (found != routes->second.end()) {
            return found->second;
        }
        prefix = prefix.substr(0, slash);
    }
    return nullptr;
}

} // namespace cassiaroad
