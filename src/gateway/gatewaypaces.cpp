#include "gateway/gatewaycore.h"

#include "version/routingtablehistory.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// An upstream that the routing table shows as cold is taken as cold for so long without a newer
// table, if its service states a rate and no duration.
constexpr Milliseconds assumedColdDuration { 60000 };
// While the routing table is older, connections must be newer than this.
constexpr Milliseconds maxTrustedTableAge { 2000 };

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

// Sets the limits of cold and recovering upstreams, by the configuration and the routing table.
void GatewayCore::applyPaces()
{
    const TimePoint now = this->loop.now();
    for (const auto &[id, upstream] : this->upstreams) {
        const SiteService *service = this->serviceOf(*upstream);
        upstream->setColdByTable(service != nullptr ? this->coldByTableUntil(*upstream, *service)
                                                    : std::nullopt,
                                 now);
        if (upstream->isWarming()) {
            upstream->setColdTerm(termOfTable(this->routing.tableTag));
        }
        upstream->pace().setAdmitted(this->admittedShareOf(*upstream));
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

// Returns until when @p upstream is cold by the routing table; nothing if @p service does not state
// what a cold upstream can handle.
std::optional<TimePoint> GatewayCore::coldByTableUntil(const GatewayUpstream &upstream,
                                                       const SiteService &service) const
{
    if (service.coldRate <= 0.0) {
        return std::nullopt;
    }
    if (!upstream.isWarming()) {
        // A leader of a later term may not have heard of the warm-up yet.
        const bool isMarked = upstream.coldByTable()
                              && upstream.coldTerm() != termOfTable(this->routing.tableTag);
        return isMarked ? upstream.coldByTable() : TimePoint {};
    }
    const Milliseconds duration
            = service.coldDuration > Milliseconds {} ? service.coldDuration : assumedColdDuration;
    return this->routing.tableConfirmedAt + duration;
}

// Returns the share of its usual requests that the leader admits at a recovering upstream.
std::optional<AdmittedShare> GatewayCore::admittedShareOf(const GatewayUpstream &upstream) const
{
    if (!upstream.admitted()) {
        return std::nullopt;
    }
    return AdmittedShare { static_cast<double>(*upstream.admitted()) / wholeShare,
                           this->routing.tableConfirmedAt + gatewayCountLease };
}

bool GatewayCore::mayStart(const GatewayUpstream &upstream) const
{
    return upstream.pace().allows(this->loop.now()) && this->cold.admits(upstream);
}

Milliseconds GatewayCore::startsAfter(const GatewayUpstream &upstream) const
{
    const Milliseconds left = upstream.timeLeft(this->loop.now());
    return this->cold.admits(upstream) ? left : std::max(left, this->cold.refusedFor(upstream));
}

// The upstream may have restarted without the leader's knowledge.
std::optional<ConnectionProbe> GatewayCore::probeOf(const GatewayUpstream &upstream) const
{
    const std::string &header = this->codec.headers().warmupLeft;
    const SiteService *service = this->serviceOf(upstream);
    if (service == nullptr || service->coldRate <= 0.0 || service->healthPath.empty()
        || header.empty()) {
        return std::nullopt;
    }
    return ConnectionProbe { service->healthPath, upstream.upstream().address.toString(), header };
}

// Returns since when a connection must be open, so that what it has told of its server holds: a
// zone may have been evacuated since, and its upstreams cold again, without the knowledge of a
// gateway whose table is old.
TimePoint GatewayCore::trustedConnectionsFrom(const GatewayUpstream &upstream) const
{
    const TimePoint recent = this->loop.now() - maxTrustedTableAge;
    return this->routing.tableConfirmedAt >= recent
                   ? upstream.trustedConnectionsFrom()
                   : std::max(upstream.trustedConnectionsFrom(), recent);
}

// A connection tells what the process at its other end has said of itself, so that it holds
// whatever the routing table knows of a restart.
WriteDecision GatewayCore::decideWrite(GatewayUpstream &upstream,
                                       const std::optional<TimePoint> &permitUntil,
                                       const ConnectionState &connection) const
{
    const TimePoint now = this->loop.now();
    if (permitUntil) {
        return now < *permitUntil ? WriteDecision::Write : WriteDecision::KeepConnection;
    }
    if (!upstream.hasColdLimit()) {
        return WriteDecision::Write;
    }
    const bool isUnknown = !connection.warmAt && this->probeOf(upstream);
    if (isUnknown || connection.openedAt < this->trustedConnectionsFrom(upstream)) {
        return WriteDecision::CloseConnection;
    }
    if (connection.warmAt && now < *connection.warmAt) {
        upstream.recordCold(*connection.warmAt);
    }
    return upstream.isCold(now) ? WriteDecision::KeepConnection : WriteDecision::Write;
}

} // namespace cassiaroad
