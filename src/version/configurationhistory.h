#pragma once

#include "version/sitewatch.h"

#include <map>

namespace cassiaroad {

/**
 * Present configuration document, recent earlier ones, and the deltas from these to the present
 * one. Pure; not thread-safe.
 */
class ConfigurationHistory
{
public:
    /** Adds the configuration document (see packText()) that is in force now. */
    void add(ConfigurationVersion version, std::string document);

    /**
     * Sets the version in @p update. If the gateway has an older one, @p known (0: none), sets the
     * delta from that document as well, or the complete document if @p known is not stored.
     */
    void fill(GatewayUpdate &update, ConfigurationVersion known);

private:
    ConfigurationVersion current = 0;
    std::map<ConfigurationVersion, std::string> documents; // recent ones
    std::map<ConfigurationVersion, std::string> deltas; // to the present one, by version
};

} // namespace cassiaroad
