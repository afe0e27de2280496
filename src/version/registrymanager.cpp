#include "version/registrymanager.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

constexpr Milliseconds gatewayLost { 3000 };
constexpr double gatewayMemorySeconds = 3.0;

SiteUpstream toUpstream(const UpstreamReport &report)
{
    return { report.life,    report.service,
             report.address, report.zone,
             report.slots,   report.draining ? UpstreamPhase::Draining : UpstreamPhase::Ready };
}

} // namespace

RegistryManager::RegistryManager(const RegistryState &state, RegistryTiming timing)
    : state(state)
    , timing(timing)
    , monitor(timing.ranges.heartbeat)
    , ledger(timing.leases)
{ }

void RegistryManager::startTerm(TimePoint now)
{
    this->monitor.startTerm(now);
    this->ledger.startTerm(now);
    for (const auto &[service, table] : this->state.ranges()) {
        this->ledger.setFenceAtStart(service, table.lastFence());
    }
    for (auto &[service, supervisor] : this->supervisors) {
        supervisor.startTerm();
    }
    for (const auto &[id, upstream] : this->state.upstreams()) {
        RangeSupervisor *keyed = this->supervisor(upstream.service);
        if (keyed != nullptr && upstream.phase != UpstreamPhase::Ready) {
            keyed->noteLeaving(upstream.life, now);
        }
    }
    this->gateways.clear();
    this->removing.clear();
}

void RegistryManager::setConfiguration(std::shared_ptr<const SiteConfiguration> value)
{
    this->configuration = std::move(value);
    for (const auto &[name, service] : this->configuration->services) {
        if (service.keyed) {
            this->supervisors.try_emplace(name, name, this->timing.ranges);
        }
    }
}

RangeContext RegistryManager::context(TimePoint now) const
{
    return { this->state, this->monitor, this->ledger, now };
}

RangeSupervisor *RegistryManager::supervisor(const std::string &service)
{
    const auto found = this->supervisors.find(service);
    return found == this->supervisors.end() ? nullptr : &found->second;
}

// Whether a later life is known at the id or address of the report.
bool RegistryManager::isReplaced(const UpstreamReport &report) const
{
    return std::any_of(this->state.upstreams().begin(), this->state.upstreams().end(),
                       [&](const auto &entry) {
                           const SiteUpstream &known = entry.second;
                           const bool same = known.life.id == report.life.id
                                             || known.address == report.address;
                           return same && known.life.born > report.life.born;
                       });
}

void RegistryManager::addRegistration(const UpstreamReport &report,
                                      std::vector<RegistryCommand> &commands)
{
    // Two processes cannot have one address: the later one proves that the earlier one has ended.
    for (const auto &[id, known] : this->state.upstreams()) {
        if (known.address == report.address && id != report.life.id
            && known.life.born < report.life.born) {
            commands.emplace_back(RemoveSiteUpstream { known.life });
        }
    }
    const SiteUpstream *known = this->state.find(report.life);
    if (known == nullptr) {
        commands.emplace_back(RegisterSiteUpstream { toUpstream(report) });
        return;
    }
    if (report.draining && known->phase == UpstreamPhase::Ready) {
        commands.emplace_back(SetUpstreamPhase { report.life, UpstreamPhase::Draining });
    }
}

ReportResult RegistryManager::onReport(const UpstreamReport &report, TimePoint now)
{
    if (this->isReplaced(report) || !this->monitor.accept(report, now)) {
        return { ReportVerdict::Outdated, {} };
    }
    ReportResult result;
    this->addRegistration(report, result.commands);
    this->ledger.noteReport(report.life, report.sequence, report.leases);
    if (RangeSupervisor *keyed = this->supervisor(report.service)) {
        keyed->noteReleases(report.life, report.releases);
        if (report.draining) {
            keyed->noteLeaving(report.life, now);
        }
    }
    return result;
}

HeartbeatResponse RegistryManager::answer(const UpstreamReport &report, TimePoint now)
{
    HeartbeatResponse grant;
    RangeSupervisor *keyed = this->supervisor(report.service);
    if (keyed == nullptr || this->state.find(report.life) == nullptr) {
        return grant;
    }
    grant.keyed = true;
    grant.hold = this->timing.leases.hold;
    grant.leases = keyed->answer(report.life, this->context(now));
    if (this->ledger.recordResponse(report.life, report.sequence, grant.leases, now)) {
        ++this->firstGrants;
    }
    return grant;
}

bool RegistryManager::isReleasingFrom(const UpstreamIncarnation &life) const
{
    return std::any_of(this->supervisors.begin(), this->supervisors.end(),
                       [&](const auto &entry) { return entry.second.isReleasingFrom(life); });
}

std::uint64_t RegistryManager::changeCount() const
{
    std::uint64_t count = this->firstGrants;
    for (const auto &[service, supervisor] : this->supervisors) {
        count += supervisor.changeCount();
    }
    return count;
}

std::vector<RegistryCommand> RegistryManager::onLeave(const UpstreamIncarnation &life,
                                                      TimePoint now)
{
    const auto found = this->state.upstreams().find(life.id);
    if (found == this->state.upstreams().end()) {
        return {};
    }
    const SiteUpstream &known = found->second;
    if ((life.born != 0 && known.life != life) || known.phase == UpstreamPhase::Gone) {
        return {};
    }
    if (RangeSupervisor *keyed = this->supervisor(known.service)) {
        keyed->noteLeaving(known.life, now);
    }
    return { SetUpstreamPhase { known.life, UpstreamPhase::Gone } };
}

void RegistryManager::onGatewayReport(const GatewayReport &report, TimePoint now)
{
    for (const KeyRequestCount &key : report.keys) {
        if (RangeSupervisor *keyed = this->supervisor(key.service)) {
            keyed->addLoad(key.key, key.requests, now);
        }
    }
    for (const UpstreamTiming &timing : report.timings) {
        this->monitor.recordTiming(timing.upstream, timing.requests,
                                   { static_cast<std::int64_t>(timing.milliseconds) });
    }
    const auto [entry, isNew] = this->gateways.try_emplace(report.gateway);
    GatewayLoad &load = entry->second;
    const double seconds = isNew ? 0.0 : static_cast<double>((now - load.last).count) / 1000.0;
    load.last = now;
    if (seconds > 0.0) {
        const double weight = std::min(1.0, seconds / gatewayMemorySeconds);
        load.requests += (report.requests / seconds - load.requests) * weight;
    }
}

bool RegistryManager::ownsRange(const SiteUpstream &upstream) const
{
    const auto table = this->state.ranges().find(upstream.service);
    if (table == this->state.ranges().end()) {
        return false;
    }
    const std::vector<RangeOwner> &owners = table->second.owners();
    return std::any_of(owners.begin(), owners.end(),
                       [&](const RangeOwner &o) { return o.owner == upstream.life; });
}

void RegistryManager::addRemovals(TimePoint now, std::vector<RegistryCommand> &commands)
{
    for (const auto &[id, upstream] : this->state.upstreams()) {
        const bool isOver = this->monitor.isSilent(upstream.life, now - this->timing.forget);
        if (isOver && !this->ownsRange(upstream) && this->removing.insert(upstream.life).second) {
            commands.emplace_back(RemoveSiteUpstream { upstream.life });
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
    this->addRemovals(now, commands);
    return commands;
}

void RegistryManager::onCommandEnded(const RegistryCommand &command)
{
    if (const auto *transfer = std::get_if<TransferRanges>(&command)) {
        if (RangeSupervisor *keyed = this->supervisor(transfer->service)) {
            keyed->transfersEnded();
        }
    }
    if (const auto *removal = std::get_if<RemoveSiteUpstream>(&command)) {
        this->removing.erase(removal->life);
        if (this->state.find(removal->life) == nullptr) {
            this->ledger.forget(removal->life);
            this->monitor.forget(removal->life);
        }
    }
}

RoutingTable RegistryManager::routingTable(TimePoint now) const
{
    RoutingTable table;
    for (const auto &[id, upstream] : this->state.upstreams()) {
        table.upstreams.push_back({ upstream, this->monitor.isSilent(upstream.life, now),
                                    this->monitor.isWarmingUp(upstream.life, now) });
    }
    for (const auto &[service, supervisor] : this->supervisors) {
        table.ranges[service] = supervisor.routedRanges(this->context(now));
    }
    return table;
}

double RegistryManager::trafficShare(const std::string &gateway) const
{
    double all = 0.0;
    double own = 0.0;
    for (const auto &[name, load] : this->gateways) {
        all += load.requests;
        own += name == gateway ? load.requests : 0.0;
    }
    const auto count = static_cast<double>(std::max<std::size_t>(this->gateways.size(), 1));
    // Half of each share is equal, so that a gateway that gets traffic suddenly can serve it.
    return all > 0.0 ? 0.5 / count + 0.5 * own / all : 1.0 / count;
}

std::uint32_t RegistryManager::gatewayCount(TimePoint now) const
{
    const auto count
            = std::count_if(this->gateways.begin(), this->gateways.end(),
                            [&](const auto &g) { return now - g.second.last < gatewayLost; });
    return static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(count, 1));
}

} // namespace cassiaroad
