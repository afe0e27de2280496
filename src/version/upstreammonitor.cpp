#include "version/upstreammonitor.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr double defaultServiceMilliseconds = 100.0;
// Share of a new mean in the smoothed duration, for each request that it is the mean of.
constexpr double weightPerRequest = 0.03;
constexpr double largestWeight = 0.5;

} // namespace

void UpstreamMonitor::startTerm(TimePoint now)
{
    this->termStart = now;
    this->lives.clear();
}

bool UpstreamMonitor::accept(const UpstreamReport &report, TimePoint now)
{
    const auto [entry, isNew] = this->lives.try_emplace(report.life);
    Seen &seen = entry->second;
    if (!isNew && report.sequence <= seen.sequence) {
        return false;
    }
    if (isNew) {
        seen.first = now;
    }
    seen.sequence = report.sequence;
    seen.last = now;
    seen.warmUntil = now + report.warmupLeft;
    return true;
}

void UpstreamMonitor::noteTiming(const std::string &id, std::uint32_t requests,
                                 Milliseconds duration)
{
    if (requests == 0) {
        return;
    }
    const double mean = static_cast<double>(duration.count) / requests;
    const auto [entry, isNew] = this->durations.try_emplace(id, mean);
    if (!isNew) {
        const double weight = std::min(largestWeight, weightPerRequest * requests);
        entry->second += (mean - entry->second) * weight;
    }
}

TimePoint UpstreamMonitor::lastSeen(const UpstreamLife &life) const
{
    const auto found = this->lives.find(life);
    return found == this->lives.end() ? this->termStart : found->second.last;
}

bool UpstreamMonitor::isSilent(const UpstreamLife &life, TimePoint now) const
{
    // Two heartbeats may be lost, or a leader may change.
    return now - this->lastSeen(life) > this->heartbeat * 5 / 2;
}

bool UpstreamMonitor::isWarming(const UpstreamLife &life, TimePoint now) const
{
    const auto found = this->lives.find(life);
    return found != this->lives.end() && now < found->second.warmUntil;
}

Milliseconds UpstreamMonitor::nextReport(const UpstreamLife &life, Milliseconds earliest,
                                         TimePoint now) const
{
    Milliseconds wait = this->lastSeen(life) + this->heartbeat - now;
    while (wait < earliest) {
        wait = wait + this->heartbeat;
    }
    return wait;
}

double UpstreamMonitor::serviceMilliseconds(const std::string &id) const
{
    const auto found = this->durations.find(id);
    if (found != this->durations.end()) {
        return std::max(found->second, 1.0);
    }
    if (this->durations.empty()) {
        return defaultServiceMilliseconds;
    }
    double sum = 0.0;
    for (const auto &[other, duration] : this->durations) {
        sum += duration;
    }
    return sum / static_cast<double>(this->durations.size());
}

TimePoint UpstreamMonitor::firstSeen(const UpstreamLife &life) const
{
    const auto found = this->lives.find(life);
    return found == this->lives.end() ? this->termStart : found->second.first;
}

void UpstreamMonitor::forget(const UpstreamLife &life)
{
    this->lives.erase(life);
    this->durations.erase(life.id);
}

} // namespace cassiaroad
