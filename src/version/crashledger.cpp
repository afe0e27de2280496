#include "version/crashledger.h"

#include <algorithm>
#include <array>

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
// Time from the block, or from the trial before, to each trial. The last one comes after a time in
// which upstreams that crashed for another reason should be back.
constexpr std::array<Milliseconds, 3> trialDelays { Milliseconds { 1000 }, Milliseconds { 1500 },
                                                    Milliseconds { 15 * 1000 } };
// A gateway that has not heard yet of the last broken attempt asks a little too early.
constexpr Milliseconds maxEarliness { 250 };

// Whether a host that knows @p there does not know @p attempt of @p suspect, or its trials.
bool isUnknown(const SuspectRequest &suspect, AttemptId attempt, const SuspectRequest &there)
{
    const std::vector<AttemptId> &attempts = there.attempts;
    const bool isBlockedThere = attempts.size() >= maxBroken;
    const bool isKnown = isBlockedThere
                         || std::find(attempts.begin(), attempts.end(), attempt) != attempts.end();
    return !isKnown || there.trials.count < suspect.trials.count;
}

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
    addTrials(entry, { broken.trials, {} }, now);
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
    found->second.trials = {};
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
        const auto entry = this->entries.find(suspect.request);
        if (entry != this->entries.end() && now - suspect.age > entry->second.clearedAt) {
            addTrials(entry->second, suspect.trials, now);
        }
    }
}

void CrashLedger::addTrials(Entry &entry, const RequestTrials &trials, TimePoint now)
{
    if (trials.count > entry.trials.count) {
        entry.trials = trials;
        entry.triedAt = now;
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

std::optional<Milliseconds> CrashLedger::trialDueIn(RequestDigest request, TimePoint now) const
{
    if (!this->isBlocked(request)) {
        return std::nullopt;
    }
    const Entry &entry = this->entries.at(request);
    if (entry.trials.count >= trialDelays.size()) {
        return std::nullopt;
    }
    const TimePoint since = std::max(entry.changedAt, entry.triedAt);
    return std::max(since + trialDelays.at(entry.trials.count) - now, Milliseconds {});
}

bool CrashLedger::grantTrial(RequestDigest request, const std::string &gateway, TimePoint now)
{
    const std::optional<Milliseconds> wait = this->trialDueIn(request, now);
    if (!wait || *wait > maxEarliness) {
        return false;
    }
    Entry &entry = this->entries.at(request);
    addTrials(entry, { entry.trials.count + 1, gateway }, now);
    return true;
}

RequestTrials CrashLedger::trialsOf(RequestDigest request) const
{
    const auto found = this->entries.find(request);
    return found == this->entries.end() ? RequestTrials() : found->second.trials;
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
                               now - entry.changedAt,
                               entry.trials });
        }
    }
    return result;
}

std::vector<BrokenAttempt> CrashLedger::unknownTo(const std::vector<SuspectRequest> &suspects,
                                                  TimePoint now) const
{
    std::map<RequestDigest, const SuspectRequest *> known;
    for (const SuspectRequest &suspect : suspects) {
        known[suspect.request] = &suspect;
    }
    std::vector<BrokenAttempt> result;
    for (const SuspectRequest &suspect : this->suspects(now)) {
        if (suspect.age > brokenRetention - minTimeLeftToReport) {
            continue;
        }
        const SuspectRequest *there = known[suspect.request];
        for (const AttemptId attempt : suspect.attempts) {
            if (there == nullptr || isUnknown(suspect, attempt, *there)) {
                result.push_back({ suspect.request, attempt, suspect.age, suspect.trials.count });
            }
        }
    }
    return result;
}

} // namespace cassiaroad
