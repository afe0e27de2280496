#include "version/healthtable.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds freshReport { 3000 };
constexpr Milliseconds minSuspicion { 5000 };
constexpr Milliseconds untriedReturn { 30000 };
constexpr std::uint32_t successesToReturn = 3;

} // namespace

void HealthTable::report(const EntryHostId &host, const UpstreamHealth &health, TimePoint now)
{
    if (health.requests == 0 && health.failures == 0) {
        return;
    }
    Observation &observation = this->observations[health.upstream].hosts[host];
    observation.at = now;
    // Single failures among many successes are connections that went silent, not the upstream.
    observation.failing = health.failures * 2 >= health.requests && health.failures > 0;
    observation.successes = health.failures == 0 ? observation.successes + health.requests : 0;
}

bool HealthTable::failing(const UpstreamId &upstream, TimePoint now) const
{
    const auto found = this->observations.find(upstream);
    if (found == this->observations.end()) {
        return false;
    }
    std::size_t reporting = 0;
    std::size_t failures = 0;
    for (const auto &[host, observation] : found->second.hosts) {
        if (now - observation.at < freshReport) {
            ++reporting;
            failures += observation.failing ? 1 : 0;
        }
    }
    return failures >= 2 || failures * 2 > reporting;
}

bool HealthTable::recovered(const UpstreamId &upstream, TimePoint now) const
{
    const auto found = this->observations.find(upstream);
    if (found == this->observations.end()) {
        return true; // suspected by an earlier leader, and nobody has reported to this one
    }
    const Entry &entry = found->second;
    if (now - entry.clearedAt < minSuspicion) {
        return false;
    }
    bool succeeded = false;
    TimePoint lastReport = entry.clearedAt;
    for (const auto &[host, observation] : entry.hosts) {
        if (observation.failing && now - observation.at < untriedReturn) {
            return false;
        }
        succeeded = succeeded || observation.successes >= successesToReturn;
        lastReport = std::max(lastReport, observation.at);
    }
    return succeeded || now - lastReport >= untriedReturn;
}

void HealthTable::clear(const UpstreamId &upstream, TimePoint now)
{
    Entry &entry = this->observations[upstream];
    entry.hosts.clear();
    entry.clearedAt = now;
}

} // namespace cassiaroad
