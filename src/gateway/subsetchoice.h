#pragma once

#include "gateway/subsetsize.h"
#include "gateway/upstreamchoice.h"
#include "gateway/upstreamsubset.h"
#include "version/homeregions.h"

#include <functional>
#include <optional>

namespace cassiaroad {

/** Where a choice was made. */
enum class ChoiceSource {
    Subset, // among the upstreams of the subset
    Spillover, // among the next ones, since those of the subset have no capacity
    Sample, // among all, see chooseBySample()
};

/** The upstream for a request; null if there is none. */
struct UpstreamChoice
{
    std::shared_ptr<GatewayUpstream> upstream;
    ChoiceSource source = ChoiceSource::Sample;
};

/**
 * Returns the upstream for a request out of @p candidates. Those of @p subset with room get
 * requests in proportion to their shares; of two in the same zone the one with the lower cost. If
 * none has room, one of the others with room is used, near ones first, and otherwise any as by
 * chooseBySample().
 */
UpstreamChoice chooseFromSubset(const UpstreamSubset &subset, const GatewayUpstreams &candidates,
                                std::size_t gatewayCount, TimePoint now, std::mt19937_64 &random);

/**
 * The subsets that one gateway uses, by service and home regions. Requests that are bound to home
 * regions need the capacity there, so the other requests for the service are given a subset in
 * which the upstreams at home count only with the capacity that is left. Pure; not thread-safe.
 */
class ServiceSubsets
{
public:
    /** Upstreams of all services. */
    using Upstreams = std::map<std::string, std::shared_ptr<GatewayUpstream>>;

    /** @p regions, by zone, must outlive the object. */
    ServiceSubsets(std::string zone, const std::map<std::string, std::string> &regions);

    /** Sets the place of the gateway, which the leader has sent. */
    void setPlacement(const GatewayPlacement &value);
    const std::optional<GatewayPlacement> &placement() const { return this->place; }

    /** The upstreams have changed: subsets are selected anew when they are used next. */
    void invalidate();

    /** Counts a request for @p service that is bound to @p homes. */
    void countRequest(const std::string &service, const HomeRegions &homes)
    {
        this->subsets[{ service, homes }].size.countRequest();
    }

    /** Adapts the sizes of the subsets to the requests; call it about every second. */
    void updateSizes(TimePoint now);

    /**
     * Returns the subset for requests for @p service that are bound to @p homes. Precondition: the
     * placement is known.
     */
    const UpstreamSubset &find(const std::string &service, const HomeRegions &homes,
                               const Upstreams &upstreams);

private:
    using Key = std::pair<std::string, HomeRegions>; // service and home regions of the requests

    /** Subset of one service. */
    struct ServiceSubset
    {
        SubsetSize size;
        std::optional<UpstreamSubset> subset; // nothing: it must be selected anew
        double boundShare = 0.0; // for which the subset was selected, see boundShareOf()
    };

    bool isAtHome(const std::string &zone, const HomeRegions &homes) const;
    double boundShareOf(const std::string &service) const;
    bool isHomeOfOthers(const std::string &service, const std::string &zone) const;
    std::vector<SubsetUpstream> capacitiesFor(const Key &key, const Upstreams &upstreams,
                                              double boundShare) const;

    std::string zone;
    const std::map<std::string, std::string> &regions;
    std::optional<GatewayPlacement> place;
    std::map<Key, ServiceSubset> subsets;
};

} // namespace cassiaroad
