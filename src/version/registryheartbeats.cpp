#include "version/registrymanager.h"

#include <utility>

// Heartbeats and withdrawals of upstreams: the part of RegistryManager that decides what each of
// them changes.

namespace cassiaroad {

namespace {

constexpr Milliseconds forgetInterval { 1000 }; // it looks at all upstreams

} // namespace

KnownUpstreams RegistryManager::known(TimePoint now) const
{
    return { this->state, this->monitor, this->configuration.get(),
             this->timing.ranges.heartbeatInterval, now };
}

// Records that a heartbeat has arrived. Returns whether it changes anything.
ReportStatus RegistryManager::recordReport(const UpstreamReport &report, UpstreamClaim claim,
                                           TimePoint now)
{
    if (claim.kind == ClaimKind::Outdated) {
        return ReportStatus::Outdated;
    }
    if (claim.kind == ClaimKind::Contested) {
        return ReportStatus::Contested;
    }
    if (claim.kind == ClaimKind::TakeOver && this->state.find(report.incarnation) != nullptr) {
        this->monitor.forgetReports(report.incarnation); // the earlier ones were of another sender
    }
    const bool isNew = claim.doubted ? this->monitor.acceptDoubted(report, now)
                                     : this->monitor.accept(report, now);
    if (!isNew) {
        return ReportStatus::Outdated;
    }
    return claim.kind == ClaimKind::RestartClaimed ? ReportStatus::Contested
                                                   : ReportStatus::Accepted;
}

// Ends the grants to earlier incarnations at the address of @p report, until they are heard again.
void RegistryManager::suspendLeaseCalls(const UpstreamReport &report)
{
    for (const SiteUpstream &earlier : earlierAtAddress(report, this->state)) {
        if (LeaseCalls *calls = this->leaseCalls(earlier.service)) {
            calls->suspend(earlier.incarnation);
        }
    }
}

// Returns the commands that register the sender of a heartbeat. After a restart it is assigned the
// ranges of the earlier incarnation before the response is sent.
std::vector<RegistryCommand> RegistryManager::registrationOf(const UpstreamReport &report,
                                                             ClaimKind kind, TimePoint now)
{
    this->suspendLeaseCalls(report);
    std::vector<RegistryCommand> commands = registrationCommands(report, kind, this->state);
    if (kind == ClaimKind::New) {
        return commands;
    }
    const SiteUpstream &replaced = this->state.upstreams().at(report.incarnation.id);
    if (LeaseCalls *calls = this->leaseCalls(replaced.service)) {
        calls->forget(replaced.incarnation);
    }
    if (kind != ClaimKind::Restart) {
        return commands;
    }
    this->rangeLeases.recordEnded(replaced.incarnation);
    RangeSupervisor *keyed = this->supervisor(report.service);
    const SiteUpstream &successor = std::get<RegisterSiteUpstream>(commands.back()).upstream;
    if (keyed == nullptr || !this->state.mayBeGivenWork(successor)) {
        return commands;
    }
    std::vector<RangeTransfer> transfers
            = keyed->succeed(replaced.incarnation, report.incarnation, this->context(now));
    if (!transfers.empty()) {
        commands.emplace_back(TransferRanges { report.service, std::move(transfers) });
    }
    return commands;
}

// Returns the command for a registered upstream that reports its shutdown, if none is committed.
std::vector<RegistryCommand> RegistryManager::drainCommands(const UpstreamReport &report,
                                                            TimePoint now)
{
    const SiteUpstream &upstream = *this->state.find(report.incarnation);
    if (!report.draining || upstream.phase != UpstreamPhase::Ready) {
        return {};
    }
    if (RangeSupervisor *keyed = this->supervisor(report.service)) {
        keyed->recordLeaving(report.incarnation, now);
    }
    return { SetUpstreamPhase { report.incarnation, UpstreamPhase::Draining } };
}

// Returns the commands for a change of the phase of a registered upstream. One that was withdrawn
// and goes on to report that it is ready was withdrawn by another writer.
std::vector<RegistryCommand> RegistryManager::phaseCommands(const UpstreamReport &report,
                                                            TimePoint now)
{
    const SiteUpstream &upstream = *this->state.find(report.incarnation);
    if (upstream.phase == UpstreamPhase::Ready) {
        return this->drainCommands(report, now);
    }
    if (!this->monitor.hasStayedReady(report, now)) {
        return {};
    }
    if (RangeSupervisor *keyed = this->supervisor(report.service)) {
        keyed->recordStaying(report.incarnation);
    }
    return { SetUpstreamPhase { report.incarnation, UpstreamPhase::Ready } };
}

ReportResult RegistryManager::onHeartbeat(const UpstreamReport &report, TimePoint now)
{
    const UpstreamClaim claim = claimOf(report, this->known(now));
    if (claim.kind == ClaimKind::Foreign) {
        return {};
    }
    const ReportStatus status = this->recordReport(report, claim, now);
    if (claim.kind == ClaimKind::RestartClaimed) {
        this->suspendLeaseCalls(report);
    }
    if (status != ReportStatus::Accepted) {
        // The response acknowledges the shutdown all the same, and an incarnation cannot take it
        // back.
        const bool isRegistered = claim.kind == ClaimKind::Registered;
        return { status, isRegistered ? this->drainCommands(report, now)
                                      : std::vector<RegistryCommand> {} };
    }
    ReportResult result { status, claim.kind == ClaimKind::Registered
                                          ? this->phaseCommands(report, now)
                                          : this->registrationOf(report, claim.kind, now) };
    this->rangeLeases.recordReport(report.incarnation, report.sequence, report.leases);
    if (LeaseCalls *calls = this->leaseCalls(report.service)) {
        calls->onHeartbeat(report.incarnation);
    }
    if (RangeSupervisor *keyed = this->supervisor(report.service)) {
        keyed->recordReleases(report.incarnation, report.releases);
        if (report.draining) {
            keyed->recordLeaving(report.incarnation, now);
        }
    }
    return result;
}

HeartbeatResponse RegistryManager::respond(const UpstreamReport &report, TimePoint now)
{
    HeartbeatResponse response;
    RangeSupervisor *keyed = this->supervisor(report.service);
    const SiteUpstream *upstream = this->state.find(report.incarnation);
    const bool isRegistered = upstream != nullptr && upstream->service == report.service
                              && upstream->address == report.address;
    if (keyed == nullptr || !isRegistered || this->leaseCalls(report.service) != nullptr) {
        return response;
    }
    response.keyed = true;
    response.leaseDuration = this->timing.leases.leaseDuration;
    response.leases = keyed->leasesFor(report.incarnation, this->context(now));
    if (this->rangeLeases.recordResponse(report.incarnation, report.sequence, response.leases,
                                         now)) {
        ++this->firstLeases;
    }
    return response;
}

std::vector<RegistryCommand> RegistryManager::onLeave(const UpstreamIncarnation &incarnation,
                                                      TimePoint now)
{
    const auto found = this->state.upstreams().find(incarnation.id);
    if (found == this->state.upstreams().end()) {
        return {};
    }
    const SiteUpstream &known = found->second;
    if ((incarnation.born != 0 && known.incarnation != incarnation)
        || known.phase == UpstreamPhase::Gone) {
        return {};
    }
    if (RangeSupervisor *keyed = this->supervisor(known.service)) {
        keyed->recordLeaving(known.incarnation, now);
    }
    return { SetUpstreamPhase { known.incarnation, UpstreamPhase::Gone } };
}

// Returns the commands for upstreams that gateways have seen leaving.
std::vector<RegistryCommand> RegistryManager::leaveCommands(
        const std::vector<UpstreamIncarnation> &seen, TimePoint now)
{
    std::vector<RegistryCommand> commands;
    for (const UpstreamIncarnation &incarnation : seen) {
        const SiteUpstream *known = this->state.find(incarnation);
        if (known == nullptr || known->phase != UpstreamPhase::Ready
            || !this->leaving.insert(incarnation).second) {
            continue;
        }
        if (RangeSupervisor *keyed = this->supervisor(known->service)) {
            keyed->recordLeaving(incarnation, now);
        }
        commands.emplace_back(SetUpstreamPhase { incarnation, UpstreamPhase::Draining });
    }
    return commands;
}

// Forgets what is known of incarnations that are not registered, when it no longer matters.
void RegistryManager::forgetOthers(TimePoint now)
{
    if (now - this->forgottenAt < forgetInterval) {
        return;
    }
    this->forgottenAt = now;
    const auto isRegistered = [this](const UpstreamIncarnation &incarnation) {
        return this->state.find(incarnation) != nullptr;
    };
    this->rangeLeases.forgetOthers(isRegistered, now);
    this->monitor.forgetOthers(isRegistered, now - this->timing.registrationTimeout);
    this->permits.forgetIdle(now);
}

} // namespace cassiaroad
