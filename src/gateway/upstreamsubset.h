#pragma once

#include "version/gatewayplacement.h"

#include <map>
#include <string>
#include <vector>

namespace cassiaroad {

/** An upstream as the selection of a subset needs it. */
struct SubsetUpstream
{
    std::string id;
    std::string zone;
    double capacity = 1.0; // its slots
    bool usable = true; // whether it may be given work

    bool operator==(const SubsetUpstream &) const = default;
};

/** An upstream of a subset, and the share of the gateway's requests that it is meant to get. */
struct SubsetMember
{
    std::string id;
    double share = 0.0;

    bool operator==(const SubsetMember &) const = default;
};

/** What a gateway knows of itself and of the site, for the selection of its subsets. */
struct SubsetView
{
    std::string zone; // of the gateway
    const std::map<std::string, std::string> &regions; // by zone
    GatewayPlacement placement;
};

/**
 * Shares of the requests of one zone that its gateways send to each zone. Each zone fills its own
 * upstreams first, then free ones of its region, then free ones of other regions, so that no zone
 * gets more than its part of the capacity and a small margin. Empty if there is no capacity.
 * Thread-safe.
 */
std::map<std::string, double> zoneShares(const SubsetView &view,
                                         const std::map<std::string, double> &capacity);

/**
 * The upstreams of a service without keys that one gateway uses, see zoneShares(). The upstreams of
 * a zone are arranged on a circle, each on an arc in proportion to its capacity. The gateway of
 * rank r of n uses those on an arc that begins at r/n and is a multiple of 1/n long, so that the
 * arcs of all gateways cover each point equally often. Immutable; thread-safe.
 */
class UpstreamSubset
{
public:
    /** No upstreams. */
    UpstreamSubset() = default;

    /** Selects about @p size of @p upstreams. */
    UpstreamSubset(const SubsetView &view, const std::vector<SubsetUpstream> &upstreams,
                   std::size_t size);

    const std::vector<SubsetMember> &members() const { return this->chosen; }

    /** Ids of the other upstreams, near ones first. Their order differs between gateways. */
    const std::vector<std::string> &others() const { return this->further; }

private:
    std::vector<SubsetMember> chosen;
    std::vector<std::string> further;
};

} // namespace cassiaroad
