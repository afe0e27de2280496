#include "version/crashledger.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// A request is blocked after it has crashed this many upstreams.
constexpr std::size_t maxCrashes = 3;
// Crashes that hosts tell each other of; see CrashLedger::suspects().
constexpr std::size_t minSharedCrashes = 2;
// How long crashes are remembered. Upstreams that crash again and again recover meanwhile, and a
// corrected version may have been installed afterwards.
constexpr Milliseconds crashRetention { 10 * 60 * 1000 };
// How long a host tells others that a request was answered: until all have sent their reports and
// received the result.
constexpr Milliseconds clearedRetention { 15 * 1000 };
constexpr std::size_t maxEntries = 2048;

} // namespace

bool CrashLedger::record(const CrashSighting &sighting, TimePoint now)
{
    if (!this->entries.contains(sighting.request) && this->entries.size() >= maxEntries) {
        this->makeRoom();
    }
    Entry &entry = this->entries[sighting.request];
    if (entry.upstreams.size() >= maxCrashes || !entry.upstreams.insert(sighting.upstream).second) {
        return false;
    }
    entry.changedAt = std::max(entry.changedAt, now - sighting.age);
    return true;
}

bool CrashLedger::clear(RequestDigest request, TimePoint now)
{
    const auto found = this->entries.find(request);
    if (found == this->entries.end() || found->second.upstreams.empty()) {
        return false;
    }
    found->second.upstreams.clear();
    found->second.changedAt = now;
    return true;
}

void CrashLedger::merge(const std::vector<SuspectRequest> &suspects, TimePoint now)
{
    for (const SuspectRequest &suspect : suspects) {
        if (suspect.upstreams.empty()) {
            this->clear(suspect.request, now);
        }
        for (const UpstreamIncarnation &upstream : suspect.upstreams) {
            this->record({ suspect.request, upstream, suspect.age }, now);
        }
    }
}

void CrashLedger::expire(TimePoint now)
{
    std::erase_if(this->entries, [now](const auto &entry) {
        const bool isCleared = entry.second.upstreams.empty();
        return now - entry.second.changedAt > (isCleared ? clearedRetention : crashRetention);
    });
}

// Drops the entry with the fewest crashes; among equals the one that has not changed for longest.
void CrashLedger::makeRoom()
{
    const auto least = std::min_element(
            this->entries.begin(), this->entries.end(), [](const auto &left, const auto &right) {
                const std::size_t leftCrashes = left.second.upstreams.size();
                const std::size_t rightCrashes = right.second.upstreams.size();
                return leftCrashes != rightCrashes ? leftCrashes < rightCrashes
                                                   : left.second.changedAt < right.second.changedAt;
            });
    this->entries.erase(least);
}

std::size_t CrashLedger::crashCount(RequestDigest request) const
{
    const auto found = this->entries.find(request);
    return found == this->entries.end() ? 0 : found->second.upstreams.size();
}

bool CrashLedger::isBlocked(RequestDigest request) const
{
    return this->crashCount(request) >= maxCrashes;
}

Milliseconds CrashLedger::blockedFor(RequestDigest request, TimePoint now) const
{
    if (!this->isBlocked(request)) {
        return {};
    }
    return std::max(this->entries.at(request).changedAt + crashRetention - now, Milliseconds {});
}

std::vector<SuspectRequest> CrashLedger::suspects(TimePoint now) const
{
    std::vector<SuspectRequest> result;
    for (const auto &[request, entry] : this->entries) {
        if (entry.upstreams.empty() || entry.upstreams.size() >= minSharedCrashes) {
            result.push_back({ request,
                               { entry.upstreams.begin(), entry.upstreams.end() },
                               now - entry.changedAt });
        }
    }
    return result;
}

std::vector<CrashSighting> CrashLedger::unknownTo(const std::vector<SuspectRequest> &suspects,
                                                  TimePoint now) const
{
    std::set<std::pair<RequestDigest, UpstreamIncarnation>> known;
    for (const SuspectRequest &suspect : suspects) {
        for (const UpstreamIncarnation &upstream : suspect.upstreams) {
            known.emplace(suspect.request, upstream);
        }
    }
    std::vector<CrashSighting> result;
    for (const SuspectRequest &suspect : this->suspects(now)) {
        for (const UpstreamIncarnation &upstream : suspect.upstreams) {
            if (!known.contains({ suspect.request, upstream })) {
                result.push_back({ suspect.request, upstream, suspect.age });
            }
        }
    }
    return result;
}

} // namespace cassiaroad
