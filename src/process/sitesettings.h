#pragma once

#include "process/settings.h"

#include <optional>

namespace cassiaroad {

/** Section [gateway]. */
struct GatewaySettings
{
    HostAddress callers; // for requests of callers
    HostAddress readiness; // for readiness checks
    std::uint32_t memoryMegabytes = 160; // that the process may use, in units of 10^6 bytes

    bool operator==(const GatewaySettings &) const = default;
};

/** Section [registry]. */
struct RegistrySettings
{
    HostAddress control; // for heartbeats of upstreams and requests of operators
    std::string dataFolder;
    bool bootstrap = false; // the complete site starts for the first time
    bool canBecomeVoter = true; // whether the host may become a voter (setting counted)

    bool operator==(const RegistrySettings &) const = default;
};

/** Section [bounds]: limits that the site has to observe. */
struct SiteBounds
{
    double retryShare = 0.2; // share of the requests that may be sent to upstreams again
    double retrySlack = 50.0; // additional such requests in each window
    Milliseconds retryWindow { 10000 };
    Milliseconds maxLeaseDuration { 10000 }; // of the leases of upstreams
    Milliseconds stopGracePeriod { 6000 }; // from SIGTERM to the end of the process
    // How long an upstream serves at least after its announcement to shut down was acknowledged.
    Milliseconds drainPeriod { 2500 };
    // A cold upstream gets at most its stated rate times coldOver plus coldSlack requests in any
    // second, of all gateways together.
    double coldOver = 1.5;
    double coldSlack = 8.0;

    bool operator==(const SiteBounds &) const = default;
};

/** Settings of a gateway or a registry; see docs/OPERATIONS.md. Immutable after parsing. */
struct SiteSettings
{
    std::string host;
    std::string ip; // that other hosts connect to
    std::string bindIp; // that the listeners bind to; differs from ip if a relay is in front
    std::string zone;
    std::map<std::string, std::string> regions; // region of each zone
    std::uint16_t internalPort = 0; // of the members of the control group
    std::uint16_t metricsPort = 0; // 0: metrics are not served
    std::vector<HostAddress> seeds; // addresses of control hosts at which to find the control group
    std::uint32_t toleratedLosses = 1; // control hosts that may be unavailable at the same time
    Milliseconds heartbeatInterval { 1000 }; // of upstreams
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
