#include "version/upstreamclaims.h"

#include <algorithm>
#include <map>

namespace cassiaroad {

namespace {

bool isNamed(const std::string &service, const KnownUpstreams &known)
{
    return known.configuration == nullptr || known.configuration->services.contains(service);
}

bool mayBeUp(const SiteUpstream &upstream, const KnownUpstreams &known)
{
    return isNamed(upstream.service, known)
           && !known.monitor.isSilent(upstream.incarnation, known.now);
}

bool hasSamePlace(const SiteUpstream &upstream, const UpstreamReport &report)
{
    return upstream.service == report.service && upstream.address == report.address;
}

// Whether the sender of @p report may be the next incarnation of @p registered.
bool mayBeRestart(const SiteUpstream &registered, const UpstreamReport &report)
{
    return report.incarnation.born > registered.incarnation.born && hasSamePlace(registered, report)
           && report.leases.empty();
}

// Whether the sender of @p report proves that @p registered has ended; see claimOf().
// Precondition: mayBeRestart() is true.
bool provesRestart(const SiteUpstream &registered, const UpstreamReport &report,
                   const KnownUpstreams &known)
{
    const UpstreamMonitor &monitor = known.monitor;
    if (!monitor.hasReported(registered.incarnation) || !monitor.hasReported(report.incarnation)) {
        return false;
    }
    const TimePoint lastSign = monitor.lastSeen(registered.incarnation);
    const TimePoint firstReport = monitor.firstSeen(report.incarnation);
    return firstReport > lastSign && known.now - firstReport >= known.heartbeatInterval / 2
           && known.now - lastSign > known.heartbeatInterval;
}

// Whether the next report may prove that @p registered, which is silent, has ended. That is sooner
// than its leases on keys run out. Precondition: mayBeRestart() is true.
bool canProveRestart(const SiteUpstream &registered, const UpstreamReport &report,
                     const KnownUpstreams &known)
{
    if (known.configuration == nullptr || !isNamed(report.service, known)
        || !known.configuration->services.at(report.service).keyed
        || !known.monitor.hasReported(registered.incarnation)) {
        return false;
    }
    return !known.monitor.hasReported(report.incarnation)
           || known.monitor.firstSeen(report.incarnation)
                      > known.monitor.lastSeen(registered.incarnation);
}

// Whether @p other started later than @p sender, whose address it has, and reports; and the sender
// has not been heard since the first report of the other.
bool hasTakenAddress(const SiteUpstream &other, const UpstreamIncarnation &sender,
                     const KnownUpstreams &known)
{
    if (other.incarnation.born <= sender.born || !known.monitor.hasReported(other.incarnation)
        || !mayBeUp(other, known)) {
        return false;
    }
    return !known.monitor.hasReported(sender)
           || known.monitor.lastSeen(sender) < known.monitor.firstSeen(other.incarnation);
}

// Whether a later incarnation reports from @p address; see hasTakenAddress().
bool isAddressTaken(const UpstreamIncarnation &sender, const HostAddress &address,
                    const KnownUpstreams &known)
{
    const auto &upstreams = known.state.upstreams();
    return std::any_of(upstreams.begin(), upstreams.end(), [&](const auto &entry) {
        const SiteUpstream &other = entry.second;
        return other.address == address && hasTakenAddress(other, sender, known);
    });
}

} // namespace

UpstreamClaim claimOf(const UpstreamReport &report, const KnownUpstreams &known)
{
    const auto found = known.state.upstreams().find(report.incarnation.id);
    const SiteUpstream *registered
            = found == known.state.upstreams().end() ? nullptr : &found->second;
    if (registered != nullptr && registered->incarnation == report.incarnation
        && hasSamePlace(*registered, report)) {
        return { ClaimKind::Registered, isAddressTaken(report.incarnation, report.address, known) };
    }
    if (!isNamed(report.service, known)) {
        return { ClaimKind::Foreign, false };
    }
    const bool mayRestart = registered != nullptr && mayBeRestart(*registered, report);
    if (mayRestart && provesRestart(*registered, report, known)) {
        return { ClaimKind::Restart, false };
    }
    if (mayRestart
        && (mayBeUp(*registered, known) || canProveRestart(*registered, report, known))) {
        return { ClaimKind::RestartClaimed, false };
    }
    const bool isEarlier
            = registered != nullptr && report.incarnation.born < registered->incarnation.born;
    if (registered != nullptr && mayBeUp(*registered, known)) {
        return { isEarlier ? ClaimKind::Outdated : ClaimKind::Contested, false };
    }
    const bool doubted = isEarlier || isAddressTaken(report.incarnation, report.address, known);
    return { registered == nullptr ? ClaimKind::New : ClaimKind::TakeOver, doubted };
}

std::vector<RegistryCommand> registrationCommands(const UpstreamReport &report, ClaimKind kind,
                                                  const RegistryState &state)
{
    std::vector<RegistryCommand> commands;
    const auto registered = state.upstreams().find(report.incarnation.id);
    // A registration does not replace a later incarnation; see RegistryState.
    if (kind == ClaimKind::TakeOver
        && registered->second.incarnation.born > report.incarnation.born) {
        commands.emplace_back(RemoveSiteUpstream { registered->second.incarnation });
    }
    const UpstreamPhase phase = report.draining ? UpstreamPhase::Draining : UpstreamPhase::Ready;
    commands.emplace_back(
            RegisterSiteUpstream { { report.incarnation, report.service, report.address,
                                     report.zone, report.slots, phase } });
    return commands;
}

std::vector<SiteUpstream> earlierAtAddress(const UpstreamReport &report, const RegistryState &state)
{
    std::vector<SiteUpstream> result;
    for (const auto &[id, upstream] : state.upstreams()) {
        if (upstream.incarnation.born < report.incarnation.born
            && upstream.address == report.address) {
            result.push_back(upstream);
        }
    }
    return result;
}

std::set<UpstreamIncarnation> supersededUpstreams(const KnownUpstreams &known)
{
    std::map<HostAddress, std::vector<UpstreamIncarnation>> silent;
    for (const auto &[id, upstream] : known.state.upstreams()) {
        if (known.monitor.isSilent(upstream.incarnation, known.now)) {
            silent[upstream.address].push_back(upstream.incarnation);
        }
    }
    std::set<UpstreamIncarnation> superseded;
    for (const auto &[id, other] : known.state.upstreams()) {
        const auto found = silent.find(other.address);
        if (found == silent.end()) {
            continue;
        }
        for (const UpstreamIncarnation &incarnation : found->second) {
            if (hasTakenAddress(other, incarnation, known)) {
                superseded.insert(incarnation);
            }
        }
    }
    return superseded;
}

} // namespace cassiaroad
