#include "gateway/crashguard.h"

#include <utility>

namespace cassiaroad {

namespace {

constexpr std::size_t maxAnsweredRequests = 2048; // in each half
// Reports wait while there is no leader; the oldest are dropped beyond this number.
constexpr std::size_t maxPending = 512;

} // namespace

bool CrashGuard::AnsweredRequests::contains(RequestDigest request) const
{
    return this->newer.contains(request) || this->older.contains(request);
}

void CrashGuard::AnsweredRequests::insert(RequestDigest request)
{
    if (this->newer.size() >= maxAnsweredRequests) {
        this->older = std::move(this->newer);
        this->newer.clear();
    }
    this->newer.insert(request);
}

bool CrashGuard::recordBroken(RequestDigest request, const UpstreamIncarnation &upstream,
                              TimePoint now)
{
    if (this->answered.contains(request)) {
        return false;
    }
    const CrashSighting sighting { request, upstream, {} };
    this->crashes.expire(now);
    if (!this->crashes.record(sighting, now)) {
        return false;
    }
    this->addPending(sighting);
    return true;
}

void CrashGuard::recordAnswered(RequestDigest request, TimePoint now)
{
    this->answered.insert(request);
    if (!this->crashes.clear(request, now)) {
        return;
    }
    this->pendingAnswers.push_back(request);
    if (this->pendingAnswers.size() > maxPending) {
        this->pendingAnswers.pop_front();
        this->reportedAnswers -= this->reportedAnswers > 0 ? 1 : 0;
    }
}

void CrashGuard::addPending(const CrashSighting &sighting)
{
    this->pendingCrashes.push_back(sighting);
    if (this->pendingCrashes.size() > maxPending) {
        this->pendingCrashes.pop_front();
        this->reportedCrashes -= this->reportedCrashes > 0 ? 1 : 0;
    }
}

void CrashGuard::fillReport(GatewayReport &report)
{
    report.crashes = { this->pendingCrashes.begin(), this->pendingCrashes.end() };
    report.answered = { this->pendingAnswers.begin(), this->pendingAnswers.end() };
    report.suspectsTag = this->leaderTag;
    this->reportedCrashes = this->pendingCrashes.size();
    this->reportedAnswers = this->pendingAnswers.size();
}

// A reply shows that the leader has received the previous report.
void CrashGuard::confirmReport()
{
    const auto crashCount = static_cast<std::ptrdiff_t>(std::exchange(this->reportedCrashes, 0));
    this->pendingCrashes.erase(this->pendingCrashes.begin(),
                               this->pendingCrashes.begin() + crashCount);
    const auto answerCount = static_cast<std::ptrdiff_t>(std::exchange(this->reportedAnswers, 0));
    this->pendingAnswers.erase(this->pendingAnswers.begin(),
                               this->pendingAnswers.begin() + answerCount);
}

void CrashGuard::applyUpdate(const GatewayUpdate &update, TimePoint now)
{
    this->confirmReport();
    this->leaderTag = update.suspectsTag;
    if (!update.suspects) {
        return;
    }
    this->crashes.expire(now);
    this->crashes.merge(*update.suspects, now);
    // A new leader learns from the gateways what the previous one knew.
    for (const CrashSighting &sighting : this->crashes.unknownTo(*update.suspects, now)) {
        this->addPending(sighting);
    }
}

} // namespace cassiaroad
