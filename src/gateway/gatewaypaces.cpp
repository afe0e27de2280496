#include "gateway/gatewaycore.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// An upstream that the routing table shows as cold is taken as cold for so long without a newer
// table, if its service states a rate and no duration.
constexpr Milliseconds assumedColdDuration { 60000 };

// Whether the leader's share replaces the token bucket of this gateway. Without keys a gateway uses
// all its tokens, so that dividing a stated rate among the gateways loses nothing.
bool usesAdmittedShare(const GatewayUpstream &upstream, const SiteService &service)
{
    return service.keyed || service.coldRate <= 0.0 || !upstream.isWarming();
}

} // namespace

// Chooses among @p candidates, and again where the share of a recovering upstream does not admit
// the request. The first choice gets it all the same if no other upstream can take it at once:
// holding it back would only make it wait. Without this, recovering upstreams were idle while the
// others were busy.
std::shared_ptr<GatewayUpstream> GatewayCore::chooseAdmitted(const std::string &service,
                                                             const HomeRegions &homes,
                                                             GatewayUpstreams candidates)
{
    const TimePoint now = this->loop.now();
    std::shared_ptr<GatewayUpstream> first;
    while (auto chosen = this->chooseAmong(service, homes, candidates)) {
        if (chosen->pace().allows(now)) {
            const bool mustWait = !chosen->admission().hasCapacity();
            return mustWait && first && first->admission().hasCapacity() ? first : chosen;
        }
        this->countPaced(*chosen);
        chosen->pace().turnAway(now);
        std::erase(candidates, chosen);
        first = first ? first : chosen;
    }
    return first;
}

// Sets the limits of cold and recovering upstreams, by the configuration, the routing table and the
// number of gateways.
void GatewayCore::applyPaces()
{
    const TimePoint now = this->loop.now();
    std::map<std::string, std::optional<ColdLimit>> limits; // by service
    for (const auto &[id, upstream] : this->upstreams) {
        const SiteService *service = this->serviceOf(*upstream);
        if (!upstream->isWarming() || !this->routing.active) {
            upstream->pace().setCold(std::nullopt, now);
        }
        if (service == nullptr) {
            upstream->pace().setAdmitted(std::nullopt);
            continue;
        }
        const bool isShared = upstream->admitted() && usesAdmittedShare(*upstream, *service);
        upstream->pace().setAdmitted(
                isShared ? std::optional(this->admittedShareOf(*service, *upstream->admitted()))
                         : std::nullopt);
        if (!upstream->isWarming()) {
            continue;
        }
        const auto [limit, isNew] = limits.try_emplace(upstream->upstream().service);
        if (isNew) {
            limit->second = this->coldLimitOf(*service);
        }
        upstream->pace().setCold(limit->second, now);
    }
}

// Returns the service of @p upstream in the present configuration, or null.
const SiteService *GatewayCore::serviceOf(const GatewayUpstream &upstream) const
{
    if (!this->routing.active) {
        return nullptr;
    }
    const std::map<std::string, SiteService> &services
            = this->routing.active->configuration.services;
    const auto found = services.find(upstream.upstream().service);
    return found == services.end() ? nullptr : &found->second;
}

// Returns the limit of the service's cold upstreams; nothing if it states none.
std::optional<ColdLimit> GatewayCore::coldLimitOf(const SiteService &service) const
{
    if (service.coldRate <= 0.0) {
        return std::nullopt;
    }
    const SiteBounds &bounds = this->settings.bounds;
    const Milliseconds duration
            = service.coldDuration > Milliseconds {} ? service.coldDuration : assumedColdDuration;
    return ColdLimit { coldSiteRate(service.coldRate, bounds.coldOver, bounds.coldSlack),
                       this->siteShare, this->routing.tableConfirmedAt + duration };
}

// Returns what the leader's decision means for this gateway. The share of a cold owner is made of
// the demand, so it holds while the leader counts the requests of this gateway. The bound for each
// second limits what a sudden rise of the demand can cause before the leader has measured it.
AdmittedShare GatewayCore::admittedShareOf(const SiteService &service,
                                           std::uint16_t thousandths) const
{
    AdmittedShare result;
    result.share = static_cast<double>(thousandths) / wholeShare;
    result.until = this->routing.tableConfirmedAt + gatewayCountLease;
    if (service.coldRate > 0.0) {
        result.from = this->siteShare.countedSince();
        result.until = std::min(this->siteShare.leaseEnd(), result.until);
        const SiteBounds &bounds = this->settings.bounds;
        const double limit = service.coldRate * bounds.coldOver + bounds.coldSlack;
        const double gateways = std::max<double>(this->routing.gateways, 1.0);
        result.maxPerSecond
                = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(limit / gateways));
    }
    return result;
}

} // namespace cassiaroad
