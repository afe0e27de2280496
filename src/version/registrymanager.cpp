#include "version/registrymanager.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cassiaroad {

namespace {

constexpr Milliseconds removalInterval { 200 }; // between two checks which upstreams to remove

// Expected time from a commit until the call that delivers the lease has arrived.
constexpr Milliseconds leaseCallDuration { 25 };

// Returns the timing of a service whose upstreams receive their leases as @p delivery says.
RangeTiming rangeTiming(RangeTiming timing, LeaseDelivery delivery)
{
    if (delivery == LeaseDelivery::Call) {
        timing.callDuration = leaseCallDuration;
    }
    return timing;
}

LeaseCallTiming callTiming(const RegistryTiming &timing)
{
    LeaseCallTiming result;
    result.leaseDuration = timing.leases.leaseDuration;
    result.renewInterval = timing.ranges.heartbeatInterval;
    result.grantTimeout = timing.leases.callTimeout;
    result.releaseTimeout = timing.leases.leaseDurationOnLeaderClock;
    return result;
}

} // namespace

RegistryManager::RegistryManager(const RegistryState &state, RegistryTiming timing)
    : state(state)
    , timing(timing)
    , monitor(timing.ranges.heartbeatInterval)
    , rangeLeases(timing.leases)
    , permits(timing.cold)
{ }

void RegistryManager::startTerm(TimePoint now)
{
    this->monitor.startTerm(now);
    this->rangeLeases.startTerm(now);
    for (const auto &[service, table] : this->state.ranges()) {
        this->rangeLeases.setFenceAtStart(service, table.lastFence(), this->deliveryOf(service));
    }
    for (auto &[service, calls] : this->callers) {
        calls.startTerm();
    }
    for (auto &[service, supervisor] : this->supervisors) {
        supervisor.startTerm();
    }
    for (const auto &[id, upstream] : this->state.upstreams()) {
        RangeSupervisor *keyed = this->supervisor(upstream.service);
        if (keyed != nullptr && upstream.phase != UpstreamPhase::Ready) {
            keyed->recordLeaving(upstream.incarnation, now);
        }
    }
    this->gateways.clear();
    this->earlierGateways = 0;
    this->placements = GatewayPlacements();
    this->placementsAt = now;
    this->termStart = now;
    this->permits.startTerm(now);
    this->recoveries.startTerm(now);
    this->crashes = CrashLedger(); // gateways report again what an earlier leader knew
    this->removing.clear();
    this->leaving.clear();
}

void RegistryManager::setConfiguration(std::shared_ptr<const SiteConfiguration> value)
{
    this->configuration = std::move(value);
    for (const auto &[name, service] : this->configuration->services) {
        if (!service.keyed) {
            continue;
        }
        this->supervisors.try_emplace(name, name,
                                      rangeTiming(this->timing.ranges, service.leaseDelivery));
        this->supervisors.at(name).setHomeZones(this->homeZonesOf(name));
        if (service.leaseDelivery == LeaseDelivery::Call) {
            this->callers.try_emplace(name, callTiming(this->timing));
        }
    }
}

// Returns the zones that the home regions of all routes to @p service allow; nothing if these do
// not restrict it.
std::optional<std::set<std::string>> RegistryManager::homeZonesOf(const std::string &service) const
{
    const HomeRegions homes = homesOfService(*this->configuration, service);
    if (!homes.isRestricted()) {
        return std::nullopt;
    }
    std::set<std::string> zones;
    for (const auto &[zone, region] : this->regions) {
        if (homes.allows(region)) {
            zones.insert(zone);
        }
    }
    return zones;
}

RangeContext RegistryManager::context(TimePoint now) const
{
    return { this->state, this->monitor, this->rangeLeases, now };
}

RangeSupervisor *RegistryManager::supervisor(const std::string &service)
{
    const auto found = this->supervisors.find(service);
    return found == this->supervisors.end() ? nullptr : &found->second;
}

// Returns the calls that deliver leases of @p service; null if heartbeats deliver them.
LeaseCalls *RegistryManager::leaseCalls(const std::string &service)
{
    const auto found = this->callers.find(service);
    return found == this->callers.end() ? nullptr : &found->second;
}

LeaseDelivery RegistryManager::deliveryOf(const std::string &service) const
{
    return this->callers.contains(service) ? LeaseDelivery::Call : LeaseDelivery::Heartbeat;
}

std::vector<LeaseCall> RegistryManager::dueLeaseCalls(TimePoint now)
{
    std::vector<LeaseCall> result;
    for (auto &[service, calls] : this->callers) {
        for (const UpstreamIncarnation &incarnation : calls.due(now)) {
            std::vector<LeaseCall> due
                    = this->leaseCallsTo(incarnation, *this->supervisor(service), calls, now);
            std::move(due.begin(), due.end(), std::back_inserter(result));
        }
    }
    return result;
}

std::vector<LeaseCall> RegistryManager::leaseCallsTo(const UpstreamIncarnation &incarnation,
                                                     RangeSupervisor &keyed, LeaseCalls &calls,
                                                     TimePoint now)
{
    const SiteUpstream *upstream = this->state.find(incarnation);
    if (upstream == nullptr) {
        calls.forget(incarnation);
        return {};
    }
    LeaseTarget target;
    target.leases = keyed.leasesFor(incarnation, this->context(now));
    target.releases = keyed.releasesOf(incarnation, this->context(now));
    // An upstream without any sign of life may have been replaced by another incarnation.
    if (this->monitor.isSilent(incarnation, now)) {
        target.leases.clear();
    }
    std::vector<LeaseCall> due = calls.update(*upstream, target, this->nextLeaseCall, now);
    for (const LeaseCall &call : due) {
        if (const auto *grant = std::get_if<GrantCall>(&call.body)) {
            this->rangeLeases.recordGrantSent(incarnation, call.number, grant->lease, now);
        }
    }
    return due;
}

/** Records the result of a call; its parameters are the call and the result. */
struct RegistryManager::LeaseCallVisitor
{
    RegistryManager &manager;
    RangeSupervisor &keyed;
    const LeaseCall &call;
    TimePoint now;

    void operator()(const GrantCall & /*grant*/, const LeaseCallAccepted & /*result*/) const
    {
        this->manager.monitor.recordSeen(this->call.upstream, this->now);
        if (this->manager.rangeLeases.recordGrantAccepted(this->call.upstream, this->call.number,
                                                          this->now)) {
            ++this->manager.firstLeases;
        }
    }
    void operator()(const GrantCall &grant, const LeaseCallRefused & /*result*/) const
    {
        this->withoutEffect();
        this->keyed.recordRefused(grant.lease.fence);
    }
    void operator()(const GrantCall & /*grant*/, const LeaseCallNotSent & /*result*/) const
    {
        this->withoutEffect();
    }
    void operator()(const ReleaseCall &release, const LeaseCallAccepted &result) const
    {
        this->manager.monitor.recordSeen(this->call.upstream, this->now);
        this->manager.rangeLeases.recordReleased(this->call.upstream, release.range, release.fence);
        this->keyed.recordReleases(this->call.upstream, { { release.range, result.handover } });
    }
    // In all other cases the upstream may have done what was asked, or may do it later.
    template <typename Body, typename Result>
    void operator()(const Body & /*body*/, const Result & /*result*/) const
    { }

    void withoutEffect() const
    {
        this->manager.rangeLeases.recordGrantWithoutEffect(this->call.upstream, this->call.number);
    }
};

std::optional<EndedLeaseCall> RegistryManager::onLeaseCallEnded(std::uint64_t number,
                                                                const LeaseCallResult &result,
                                                                TimePoint now)
{
    for (auto &[service, calls] : this->callers) {
        std::optional<EndedLeaseCall> ended = calls.end(number, result);
        if (ended) {
            const LeaseCallVisitor visitor { *this, *this->supervisor(service), ended->call, now };
            std::visit(visitor, ended->call.body, result);
            return ended;
        }
    }
    return std::nullopt;
}

bool RegistryManager::isReleasingFrom(const UpstreamIncarnation &incarnation) const
{
    return std::any_of(this->supervisors.begin(), this->supervisors.end(), [&](const auto &entry) {
        return entry.second.isReleasingFrom(incarnation);
    });
}

std::uint64_t RegistryManager::changeCount() const
{
    std::uint64_t count = this->firstLeases;
    for (const auto &[service, supervisor] : this->supervisors) {
        count += supervisor.changeCount();
    }
    return count;
}

std::vector<SuspectRequest> RegistryManager::suspects(TimePoint now)
{
    this->crashes.expire(now);
    return this->crashes.suspects(now);
}

// Removes the incarnations that own ranges from @p incarnations.
void RegistryManager::eraseOwners(std::set<UpstreamIncarnation> &incarnations) const
{
    for (const auto &[service, table] : this->state.ranges()) {
        for (const RangeOwner &entry : table.owners()) {
            if (incarnations.empty()) {
                return;
            }
            incarnations.erase(entry.owner);
        }
    }
}

// Adds the removal of upstreams that have been silent for long or whose address another one has,
// once they own no ranges. It looks at all upstreams and ranges, so it is done a few times a
// second.
void RegistryManager::addRemovals(TimePoint now, std::vector<RegistryCommand> &commands)
{
    if (now - this->removalsCheckedAt < removalInterval) {
        return;
    }
    this->removalsCheckedAt = now;
    std::set<UpstreamIncarnation> expired = supersededUpstreams(this->known(now));
    for (const auto &[id, upstream] : this->state.upstreams()) {
        if (this->monitor.isSilent(upstream.incarnation, now - this->timing.registrationTimeout)) {
            expired.insert(upstream.incarnation);
        }
    }
    this->eraseOwners(expired);
    for (const UpstreamIncarnation &incarnation : expired) {
        if (this->removing.insert(incarnation).second) {
            commands.emplace_back(RemoveSiteUpstream { incarnation });
        }
    }
}

std::vector<RegistryCommand> RegistryManager::dueCommands(TimePoint now)
{
    std::vector<RegistryCommand> commands;
    for (auto &[service, supervisor] : this->supervisors) {
        std::vector<RangeTransfer> transfers = supervisor.dueTransfers(this->context(now));
        if (!transfers.empty()) {
            commands.emplace_back(TransferRanges { service, std::move(transfers) });
        }
    }
    if (this->recoveries.isDue(now)) {
        this->recoveries.update(this->recoveryCandidates(now), now);
    }
    this->addRemovals(now, commands);
    this->forgetOthers(now);
    return commands;
}

// Lets the upstreams of @p zone be called at once, since their leases change.
void RegistryManager::wakeLeaseCalls(const std::string &zone)
{
    for (const auto &[id, upstream] : this->state.upstreams()) {
        LeaseCalls *calls = this->leaseCalls(upstream.service);
        if (calls != nullptr && upstream.zone == zone) {
            calls->wake(upstream.incarnation);
        }
    }
}

void RegistryManager::onCommandEnded(const RegistryCommand &command)
{
    if (const auto *transfer = std::get_if<TransferRanges>(&command)) {
        if (RangeSupervisor *keyed = this->supervisor(transfer->service)) {
            keyed->onTransfersEnded();
        }
        if (LeaseCalls *calls = this->leaseCalls(transfer->service)) {
            for (const RangeTransfer &moved : transfer->transfers) {
                calls->wake(moved.to);
            }
        }
    }
    if (const auto *evacuation = std::get_if<OrderEvacuation>(&command)) {
        this->wakeLeaseCalls(evacuation->order.zone);
    }
    if (const auto *change = std::get_if<SetUpstreamPhase>(&command)) {
        this->leaving.erase(change->incarnation);
    }
    if (const auto *removal = std::get_if<RemoveSiteUpstream>(&command)) {
        this->removing.erase(removal->incarnation);
        if (this->state.find(removal->incarnation) == nullptr) {
            this->monitor.forget(removal->incarnation);
        }
    }
}

RegistryManager::UpstreamCounts RegistryManager::upstreamCounts(TimePoint now) const
{
    UpstreamCounts counts;
    for (const auto &[id, upstream] : this->state.upstreams()) {
        ++counts.registered;
        counts.unheard += this->monitor.hasReported(upstream.incarnation) ? 0 : 1;
        counts.warming += this->monitor.isWarmingUp(upstream.incarnation, now) ? 1 : 0;
    }
    return counts;
}

RoutingTable RegistryManager::routingTable(TimePoint now) const
{
    RoutingTable table;
    table.evacuatedZones = this->state.evacuations().zones();
    for (const auto &[id, upstream] : this->state.upstreams()) {
        table.upstreams.push_back({ upstream, this->monitor.isSilent(upstream.incarnation, now),
                                    this->monitor.isWarmingUp(upstream.incarnation, now),
                                    this->recoveries.share(upstream.incarnation) });
    }
    for (const auto &[service, supervisor] : this->supervisors) {
        table.ranges[service] = supervisor.routedRanges(this->context(now));
    }
    return table;
}

} // namespace cassiaroad
