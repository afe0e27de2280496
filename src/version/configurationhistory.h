#pragma once

#include "version/sitewatch.h"

#include <map>

namespace cassiaroad {

/**
 * The accepted configurations as gateways are told of them: the present document, or what has
 * changed since a recent one. Pure; not thread-safe.
 */
class ConfigurationHistory
{
public:
    /** Adds the document (see packText()) that is in force now. */
    void add(ConfigurationVersion version, std::string document);

    /** Sets the version, and what a gateway needs that has @p known (0: none). */
    void fill(GatewayUpdate &update, ConfigurationVersion known);

private:
    ConfigurationVersion current = 0;
    std::map<ConfigurationVersion, std::string> documents; // recent ones
    std::map<ConfigurationVersion, std::string> deltas; // to the present one, by version
};

} // namespace cassiaroad
