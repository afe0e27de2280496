#pragma once

#include "process/settings.h"

#include <optional>

namespace cassiaroad {

/** Section [gateway]. */
struct GatewaySettings
{
    HostAddress callers;
    HostAddress readiness;

    bool operator==(const GatewaySettings &) const = default;
};

/** Section [registry]. */
struct RegistrySettings
{
    HostAddress control; // heartbeats and operators
    std::string dataFolder;
    bool bootstrap = false; // the whole site starts for the first time
    bool canBecomeVoter = true; // may become a voter

    bool operator==(const RegistrySettings &) const = default;
};

/** Section [bounds]: what the site promises to its surroundings. */
struct SiteBounds
{
    double retryShare = 0.2; // of requests that may be sent to upstreams again
    double retrySlack = 50.0; // such requests in a window on top of the share
    Milliseconds retryWindow { 10000 };
    Milliseconds maxHold { 10000 };
    Milliseconds stopGracePeriod { 6000 }; // from SIGTERM to the end

    bool operator==(const SiteBounds &) const = default;
};

/** Settings of a gateway or a registry; see docs/OPERATIONS.md. Immutable after parsing. */
struct SiteSettings
{
    std::string host;
    std::string ip; // that others connect to
    std::string
            bindIp; // that the own listeners use; the same unless a relay stands before the host
    std::string zone;
    std::map<std::string, std::string> regions; // by zone
    std::uint16_t internalPort = 0; // of the members of the control group
    std::uint16_t metricsPort = 0; // 0: metrics are not served
    std::vector<HostAddress> seeds; // control addresses
    std::uint32_t toleratedLosses = 1; // control hosts that may be lost at the same time
    Milliseconds heartbeat { 1000 }; // of upstreams
    std::variant<GatewaySettings, RegistrySettings> role;
    SiteBounds bounds;

    bool operator==(const SiteSettings &) const = default;
};

/**
 * Reads and checks the settings file of a gateway or a registry. Returns every error found.
 * Thread-safe.
 */
std::variant<SiteSettings, std::vector<SettingsError>> readSiteSettings(const std::string &path);

/** As above, for the text of a file; @p path appears in errors. */
std::variant<SiteSettings, std::vector<SettingsError>> parseSiteSettings(const std::string &text,
                                                                         const std::string &path);

} // namespace cassiaroad
