#include "version/upstreammonitor.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// A leaving upstream may serve for many seconds after its drain period. One that reports for longer
// that it is ready does not leave.
constexpr Milliseconds maxLeavingDuration { 20000 };
// Assumed duration of a request before any was measured.
constexpr double defaultServiceMilliseconds = 100.0;
// Number of requests that count towards the mean of an upstream; the weight of earlier ones decays.
constexpr double maxRememberedRequests = 60.0;
// Number of requests that the mean of all upstreams counts as in the mean of one upstream, since
// the first few requests of an upstream may be unusually short or long.
constexpr double priorRequests = 8.0;

} // namespace

void UpstreamMonitor::startTerm(TimePoint now)
{
    this->termStart = now;
    this->incarnations.clear();
    this->doubted.clear();
}

bool UpstreamMonitor::accept(const UpstreamReport &report, TimePoint now)
{
    const auto [entry, isNew] = this->incarnations.try_emplace(report.incarnation);
    HeartbeatState &state = entry->second;
    if (!isNew && report.sequence <= state.sequence) {
        return false;
    }
    if (isNew) {
        state.first = now;
    }
    state.sequence = report.sequence;
    state.last = now;
    state.warmupEnd = now + report.warmupLeft;
    return true;
}

bool UpstreamMonitor::acceptDoubted(const UpstreamReport &report, TimePoint now)
{
    const auto [entry, isNew] = this->doubted.try_emplace(report.incarnation,
                                                          DoubtedReports { now, report.sequence });
    DoubtedReports &reports = entry->second;
    if (isNew || report.sequence <= reports.sequence) {
        return false;
    }
    reports.sequence = report.sequence;
    if (now - reports.first > this->heartbeatInterval * 5 / 2) {
        reports.first = now; // the earlier ones are of another time
        return false;
    }
    if (now - reports.first < this->heartbeatInterval / 2) {
        return false;
    }
    this->doubted.erase(entry);
    return this->accept(report, now);
}

bool UpstreamMonitor::hasStayedReady(const UpstreamReport &report, TimePoint now)
{
    HeartbeatState &state = this->incarnations[report.incarnation];
    if (report.draining) {
        state.readySince.reset();
        return false;
    }
    if (!state.readySince) {
        state.readySince = now;
    }
    if (now - *state.readySince < maxLeavingDuration) {
        return false;
    }
    state.readySince.reset();
    return true;
}

void UpstreamMonitor::recordSeen(const UpstreamIncarnation &incarnation, TimePoint now)
{
    const auto found = this->incarnations.find(incarnation);
    if (found != this->incarnations.end()) {
        found->second.last = std::max(found->second.last, now);
    }
}

void UpstreamMonitor::recordTiming(const std::string &id, std::uint32_t requests,
                                   Milliseconds duration)
{
    if (requests == 0) {
        return;
    }
    ServiceTime time = this->serviceTimes[id];
    time.requests = std::min(time.requests + requests, maxRememberedRequests);
    const double mean = static_cast<double>(duration.count) / requests;
    const double weight = std::min(1.0, requests / time.requests);
    time.milliseconds += (mean - time.milliseconds) * weight;
    this->setServiceTime(id, time);
}

void UpstreamMonitor::setServiceTime(const std::string &id, const ServiceTime &time)
{
    ServiceTime &known = this->serviceTimes[id];
    this->allRequests += time.requests - known.requests;
    this->allMilliseconds
            += time.milliseconds * time.requests - known.milliseconds * known.requests;
    known = time;
}

TimePoint UpstreamMonitor::lastSeen(const UpstreamIncarnation &incarnation) const
{
    const auto found = this->incarnations.find(incarnation);
    return found == this->incarnations.end() ? this->termStart : found->second.last;
}

bool UpstreamMonitor::isSilent(const UpstreamIncarnation &incarnation, TimePoint now) const
{
    // Up to two missing heartbeats are tolerated: messages may be lost, or the leader may change.
    return now - this->lastSeen(incarnation) > this->heartbeatInterval * 5 / 2;
}

bool UpstreamMonitor::isWarmingUp(const UpstreamIncarnation &incarnation, TimePoint now) const
{
    const auto found = this->incarnations.find(incarnation);
    return found != this->incarnations.end() && now < found->second.warmupEnd;
}

Milliseconds UpstreamMonitor::timeToNextHeartbeat(const UpstreamIncarnation &incarnation,
                                                  Milliseconds minDelay, TimePoint now) const
{
    Milliseconds wait = this->lastSeen(incarnation) + this->heartbeatInterval - now;
    while (wait < minDelay) {
        wait = wait + this->heartbeatInterval;
    }
    return wait;
}

double UpstreamMonitor::meanServiceMilliseconds() const
{
    return (defaultServiceMilliseconds + this->allMilliseconds) / (1.0 + this->allRequests);
}

double UpstreamMonitor::serviceMilliseconds(const std::string &id) const
{
    const double prior = this->meanServiceMilliseconds();
    const auto found = this->serviceTimes.find(id);
    if (found == this->serviceTimes.end()) {
        return prior;
    }
    const ServiceTime &time = found->second;
    const double sum = prior * priorRequests + time.milliseconds * time.requests;
    return std::max(sum / (priorRequests + time.requests), 1.0);
}

TimePoint UpstreamMonitor::firstSeen(const UpstreamIncarnation &incarnation) const
{
    const auto found = this->incarnations.find(incarnation);
    return found == this->incarnations.end() ? this->termStart : found->second.first;
}

void UpstreamMonitor::forget(const UpstreamIncarnation &incarnation)
{
    this->incarnations.erase(incarnation);
    this->setServiceTime(incarnation.id, {});
    this->serviceTimes.erase(incarnation.id);
}

void UpstreamMonitor::forgetOthers(
        const std::function<bool(const UpstreamIncarnation &)> &isRegistered, TimePoint before)
{
    std::erase_if(this->incarnations, [&](const auto &entry) {
        return entry.second.last < before && !isRegistered(entry.first);
    });
    std::erase_if(this->doubted, [&](const auto &entry) { return entry.second.first < before; });
}

} // namespace cassiaroad
