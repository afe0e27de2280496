#pragma once

#include "process/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cassiaroad {

/**
 * Place of a gateway among the gateways of its zone, and the demand of all zones. Gateways derive
 * from it which upstreams they use; see UpstreamSubset. Immutable.
 */
struct GatewayPlacement
{
    std::uint32_t rank = 0; // by name among the gateways of the zone
    std::uint32_t gatewaysInZone = 1;
    std::map<std::string, std::uint32_t> demand; // in thousandths of the requests, by zone

    bool operator==(const GatewayPlacement &) const = default;
};

/** Returns a digest of @p placement; 0 if there is none. Thread-safe. */
std::uint32_t tagOf(const std::optional<GatewayPlacement> &placement);

/**
 * Placements of all gateways, at the leader. The demand is published anew only if it has changed
 * noticeably, since each change moves requests and costs a message to each gateway. Pure; not
 * thread-safe.
 */
class GatewayPlacements
{
public:
    /** A gateway that is counted, and its part of the requests of all gateways. */
    struct Gateway
    {
        std::string name;
        std::string zone;
        double share = 0.0;
    };

    /** Replaces the gateways. */
    void set(const std::vector<Gateway> &gateways);
    /** Returns nothing for a gateway that is not known. */
    std::optional<GatewayPlacement> find(const std::string &gateway) const;

private:
    /** Zone and rank of one gateway. */
    struct Place
    {
        std::string zone;
        std::uint32_t rank = 0;
    };

    std::map<std::string, Place> places; // by gateway
    std::map<std::string, std::uint32_t> counts; // by zone
    std::map<std::string, std::uint32_t> demand; // published; by zone
};

} // namespace cassiaroad
