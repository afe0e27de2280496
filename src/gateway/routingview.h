#pragma once

#include "version/routingtable.h"
#include "version/siteconfiguration.h"
#include "version/sitewatch.h"

#include <memory>

namespace cassiaroad {

/** The newest configuration that a gateway has received, with an index of its routes. Immutable. */
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

/** Configuration, routing table and number of gateways as a gateway has last received them. */
struct RoutingView
{
    std::shared_ptr<const ActiveConfiguration> active; // null: none yet
    std::shared_ptr<const RoutingTable> table; // null: none yet
    std::uint64_t tableTag = 0; // version of the table
    TimePoint tableConfirmedAt; // the table shows what the leader had committed then, or later
    TimePoint confirmedAt; // the leader confirmed the configuration then or later
    double trafficShare = 1.0; // share of this gateway in the requests of all gateways
    std::uint32_t gateways = 0; // number of gateways of the site; 0: not known yet
    TimePoint gatewaysConfirmedAt; // the leader told that number then or later

    ConfigurationVersion version() const
    {
        return this->active ? this->active->configuration.version : 0;
    }
};

} // namespace cassiaroad
