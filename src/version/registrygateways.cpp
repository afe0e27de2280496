#include "version/registrymanager.h"

#include <algorithm>

// Gateways at the leader: the part of RegistryManager that handles their reports, counts them and
// divides the traffic among them.

namespace cassiaroad {

namespace {

constexpr double loadSmoothingSeconds = 3.0; // of the requests per second of a gateway

// Interval at which the places of the gateways are derived from their reports.
constexpr Milliseconds placementInterval { 1000 };
// Time after which all gateways that can reach a new leader have reported to it: the longest watch
// timeout and the search for the leader.
constexpr Milliseconds allReportedAfter { 4000 };

} // namespace

std::vector<RegistryCommand> RegistryManager::onGatewayReport(const GatewayReport &report,
                                                              TimePoint now)
{
    for (const KeyRequestCount &key : report.keys) {
        if (RangeSupervisor *keyed = this->supervisor(key.service)) {
            keyed->addLoad(key.key, key.requests, now);
        }
    }
    for (const UpstreamTiming &timing : report.timings) {
        this->monitor.recordTiming(timing.upstream, timing.requests,
                                   { static_cast<std::int64_t>(timing.milliseconds) });
        this->recoveries.recordTiming(timing.upstream, timing.requests,
                                      { static_cast<std::int64_t>(timing.milliseconds) });
    }
    for (const BrokenAttempt &broken : report.broken) {
        this->crashes.record(broken, now);
    }
    for (const RequestDigest request : report.answered) {
        this->crashes.clear(request, now);
    }
    // Until then a new leader may not know how many trials an earlier one has granted.
    if (now - this->termStart >= allReportedAfter) {
        for (const RequestDigest request : report.trials) {
            this->crashes.grantTrial(request, report.gateway, now);
        }
    }
    const auto [entry, isNew] = this->gateways.try_emplace(report.gateway);
    if (isNew) {
        this->earlierGateways = std::max(this->earlierGateways, report.gateways);
    }
    GatewayLoad &load = entry->second;
    const double seconds
            = isNew ? 0.0 : static_cast<double>((now - load.lastReportAt).count) / 1000.0;
    load.lastReportAt = now;
    load.zone = report.zone;
    if (seconds > 0.0) {
        const double weight = std::min(1.0, seconds / loadSmoothingSeconds);
        load.requests += (report.requests / seconds - load.requests) * weight;
    }
    return this->leaveCommands(report.leaving, now);
}

bool RegistryManager::isCounted(const GatewayLoad &load, TimePoint now) const
{
    return now - load.lastReportAt < this->timing.gatewayTimeout;
}

double RegistryManager::trafficShare(const std::string &gateway, TimePoint now) const
{
    double all = 0.0;
    double own = 0.0;
    for (const auto &[name, load] : this->gateways) {
        all += this->isCounted(load, now) ? load.requests : 0.0;
        own += name == gateway ? load.requests : 0.0;
    }
    const auto count = static_cast<double>(this->gatewayCount(now));
    // Half of the total is divided equally, so that a gateway can serve a sudden rise of its
    // traffic.
    return all > 0.0 ? 0.5 / count + 0.5 * own / all : 1.0 / count;
}

std::uint32_t RegistryManager::gatewayCount(TimePoint now) const
{
    const auto count
            = std::count_if(this->gateways.begin(), this->gateways.end(),
                            [&](const auto &entry) { return this->isCounted(entry.second, now); });
    const bool isComplete = now - this->termStart >= this->timing.gatewayTimeout;
    const std::uint32_t earlier = isComplete ? 0 : this->earlierGateways;
    return std::max({ static_cast<std::uint32_t>(count), earlier, std::uint32_t(1) });
}

// Half of each share is the same for all gateways, as in trafficShare().
void RegistryManager::updatePlacements(TimePoint now)
{
    double all = 0.0;
    for (const auto &[name, load] : this->gateways) {
        all += this->isCounted(load, now) ? load.requests : 0.0;
    }
    const double equal = 1.0 / this->gatewayCount(now);
    std::vector<GatewayPlacements::Gateway> counted;
    for (const auto &[name, load] : this->gateways) {
        if (this->isCounted(load, now)) {
            const double share = all > 0.0 ? 0.5 * equal + 0.5 * load.requests / all : equal;
            counted.push_back({ name, load.zone, share });
        }
    }
    this->placements.set(counted);
    this->placementsAt = now;
}

std::optional<GatewayPlacement> RegistryManager::placement(const std::string &gateway,
                                                           TimePoint now)
{
    const Milliseconds term = now - this->termStart;
    const bool isComplete
            = this->gateways.size() >= this->earlierGateways || term >= this->timing.gatewayTimeout;
    if (term < allReportedAfter || !isComplete) {
        return std::nullopt;
    }
    if (now - this->placementsAt >= placementInterval) {
        this->updatePlacements(now);
    }
    return this->placements.find(gateway);
}

} // namespace cassiaroad
