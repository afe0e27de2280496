#pragma once

#include "version/routingtable.h"
#include "version/siteconfiguration.h"

#include <memory>

namespace cassiaroad {

/** The newest configuration that a gateway knows, ready for use. Immutable. */
struct ActiveConfiguration
{
    explicit ActiveConfiguration(SiteConfiguration value)
        : configuration(std::move(value))
        , routes(configuration)
    { }
    ActiveConfiguration(const ActiveConfiguration &) = delete;
    ActiveConfiguration &operator=(const ActiveConfiguration &) = delete;

    const SiteConfiguration configuration;
    const RouteIndex routes;
};

/** What a gateway knows of the site. */
struct RoutingView
{
    std::shared_ptr<const ActiveConfiguration> active; // null: none yet
    std::shared_ptr<const RoutingTable> table; // null: none yet
    std::uint64_t tableTag = 0;
    TimePoint tableAt; // when the leader last confirmed it
    double trafficShare = 1.0;
    std::uint32_t gateways = 1;

    ConfigurationVersion version() const
    {
        return this->active ? this->active->configuration.version : 0;
    }
};

} // namespace cassiaroad
