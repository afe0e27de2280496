#include "version/healthtable.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds maxReportAge { 3000 }; // older reports do not count as failures
constexpr Milliseconds minSuspicion { 5000 }; // how long an upstream is suspected at least
constexpr Milliseconds untriedReturnDelay { 30000 }; // return without a success, if nobody tries it
constexpr std::uint32_t minSuccessesToReturn = 3; // consecutive, at one entry host

} // namespace

void HealthTable::report(const EntryHostId &host, const UpstreamHealth &health, TimePoint now)
{
    if (health.requests == 0 && health.failures == 0) {
        return;
    }
    Observation &observation = this->observations[health.upstream].hosts[host];
    observation.at = now;
    // Single failures among many successes come from silent connections, not from a failing
    // upstream.
    observation.isFailing = health.failures * 2 >= health.requests && health.failures > 0;
    observation.successes = health.failures == 0 ? observation.successes + health.requests : 0;
}

bool HealthTable::isFailing(const UpstreamId &upstream, TimePoint now) const
{
    const auto found = this->observations.find(upstream);
    if (found == this->observations.end()) {
        return false;
    }
    std::size_t reporting = 0;
    std::size_t failures = 0;
    for (const auto &[host, observation] : found->second.hosts) {
        if (now - observation.at < maxReportAge) {
            ++reporting;
            failures += observation.isFailing ? 1 : 0;
        }
    }
    return failures >= 2 || failures * 2 > reporting;
}

bool HealthTable::hasRecovered(const UpstreamId &upstream, TimePoint now) const
{
    const auto found = this->observations.find(upstream);
    if (found == this->observations.end()) {
        return true; // an earlier leader suspected it, and this one has no report about it
    }
    const Entry &entry = found->second;
    if (now - entry.clearedAt < minSuspicion) {
        return false;
    }
    bool succeeded = false;
    TimePoint lastReport = entry.clearedAt;
    for (const auto &[host, observation] : entry.hosts) {
        if (observation.isFailing && now - observation.at < untriedReturnDelay) {
            return false;
        }
        succeeded = succeeded || observation.successes >= minSuccessesToReturn;
        lastReport = std::max(lastReport, observation.at);
    }
    return succeeded || now - lastReport >= untriedReturnDelay;
}

void HealthTable::clear(const UpstreamId &upstream, TimePoint now)
{
    Entry &entry = this->observations[upstream];
    entry.hosts.clear();
    entry.clearedAt = now;
}

} // namespace cassiaroad
