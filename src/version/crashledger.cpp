#include "version/crashledger.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// A request is blocked after this many broken attempts.
constexpr std::size_t maxBroken = 3;
// Broken attempts of a request that hosts tell each other of; see CrashLedger::suspects().
constexpr std::size_t minShared = 2;
// How long broken attempts are remembered. A corrected version may be installed meanwhile.
constexpr Milliseconds brokenRetention { 10 * 60 * 1000 };
// How long a host tells others that a request was answered.
constexpr Milliseconds clearedRetention { 15 * 1000 };
// A host does not report attempts again that are about to be forgotten: hosts do not forget them at
// the same moment, and would keep them for each other.
constexpr Milliseconds minTimeLeftToReport { 30 * 1000 };
constexpr std::size_t maxEntries = 2048;

} // namespace

bool CrashLedger::record(const BrokenAttempt &broken, TimePoint now)
{
    if (!this->entries.contains(broken.request) && this->entries.size() >= maxEntries) {
        this->makeRoom();
    }
    Entry &entry = this->entries[broken.request];
    const TimePoint brokenAt = now - broken.age;
    if (brokenAt <= entry.clearedAt) {
        return false;
    }
    if (entry.attempts.size() >= maxBroken || !entry.attempts.insert(broken.attempt).second) {
        return false;
    }
    entry.changedAt = std::max(entry.changedAt, brokenAt);
    return true;
}

bool CrashLedger::clear(RequestDigest request, TimePoint answeredAt)
{
    const auto found = this->entries.find(request);
    if (found == this->entries.end() || found->second.attempts.empty()
        || found->second.changedAt > answeredAt) {
        return false;
    }
    if (found->second.attempts.size() < minShared) {
        this->entries.erase(found);
        return true;
    }
    found->second.attempts.clear();
    found->second.changedAt = answeredAt;
    found->second.clearedAt = answeredAt;
    return true;
}

void CrashLedger::merge(const std::vector<SuspectRequest> &suspects, TimePoint now)
{
    for (const SuspectRequest &suspect : suspects) {
        if (suspect.attempts.empty()) {
            this->clear(suspect.request, now - suspect.age);
        }
        for (const AttemptId attempt : suspect.attempts) {
            this->record({ suspect.request, attempt, suspect.age }, now);
        }
    }
}

void CrashLedger::expire(TimePoint now)
{
    std::erase_if(this->entries, [now](const auto &entry) {
        return now - entry.second.changedAt > brokenRetention;
    });
}

// Drops the entry with the fewest broken attempts; among equals the one that has not changed for
// longest.
void CrashLedger::makeRoom()
{
    const auto least = std::min_element(
            this->entries.begin(), this->entries.end(), [](const auto &left, const auto &right) {
                const std::size_t leftBroken = left.second.attempts.size();
                const std::size_t rightBroken = right.second.attempts.size();
                return leftBroken != rightBroken ? leftBroken < rightBroken
                                                 : left.second.changedAt < right.second.changedAt;
            });
    this->entries.erase(least);
}

std::size_t CrashLedger::brokenCount(RequestDigest request) const
{
    const auto found = this->entries.find(request);
    return found == this->entries.end() ? 0 : found->second.attempts.size();
}

bool CrashLedger::isBlocked(RequestDigest request) const
{
    return this->brokenCount(request) >= maxBroken;
}

Milliseconds CrashLedger::blockedFor(RequestDigest request, TimePoint now) const
{
    if (!this->isBlocked(request)) {
        return {};
    }
    return std::max(this->entries.at(request).changedAt + brokenRetention - now, Milliseconds {});
}

std::vector<SuspectRequest> CrashLedger::suspects(TimePoint now) const
{
    std::vector<SuspectRequest> result;
    for (const auto &[request, entry] : this->entries) {
        const bool wasClearedLately
                = entry.attempts.empty() && now - entry.changedAt <= clearedRetention;
        if (wasClearedLately || entry.attempts.size() >= minShared) {
            result.push_back({ request,
                               { entry.attempts.begin(), entry.attempts.end() },
                               now - entry.changedAt });
        }
    }
    return result;
}

std::vector<BrokenAttempt> CrashLedger::unknownTo(const std::vector<SuspectRequest> &suspects,
                                                  TimePoint now) const
{
    std::map<RequestDigest, std::set<AttemptId>> known;
    for (const SuspectRequest &suspect : suspects) {
        known[suspect.request] = { suspect.attempts.begin(), suspect.attempts.end() };
    }
    std::vector<BrokenAttempt> result;
    for (const SuspectRequest &suspect : this->suspects(now)) {
        const std::set<AttemptId> &knownAttempts = known[suspect.request];
        if (knownAttempts.size() >= maxBroken
            || suspect.age > brokenRetention - minTimeLeftToReport) {
            continue;
        }
        for (const AttemptId attempt : suspect.attempts) {
            if (!knownAttempts.contains(attempt)) {
                result.push_back({ suspect.request, attempt, suspect.age });
            }
        }
    }
    return result;
}

} // namespace cassiaroad
