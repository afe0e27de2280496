#include "gateway/crashguard.h"

#include <utility>

namespace cassiaroad {

namespace {

constexpr std::size_t maxAnsweredRequests = 2048; // in each half
// After this time the newer half becomes the older one. A request that was answered may crash
// upstreams later, for example after a new version of them.
constexpr Milliseconds answeredPeriod { 30 * 1000 };
// Reports wait while there is no leader; the oldest are dropped beyond this number.
constexpr std::size_t maxPending = 512;

} // namespace

template <typename Value>
void CrashGuard::PendingReports<Value>::add(const Value &value)
{
    this->values.push_back(value);
    if (this->values.size() > maxPending) {
        this->values.pop_front();
        this->reported -= this->reported > 0 ? 1 : 0;
    }
}

template <typename Value>
std::vector<Value> CrashGuard::PendingReports<Value>::report()
{
    this->reported = this->values.size();
    return { this->values.begin(), this->values.end() };
}

template <typename Value>
void CrashGuard::PendingReports<Value>::confirm()
{
    const auto count = static_cast<std::ptrdiff_t>(std::exchange(this->reported, 0));
    this->values.erase(this->values.begin(), this->values.begin() + count);
}

void CrashGuard::AnsweredRequests::dropOld(TimePoint now)
{
    const Milliseconds age = now - this->newerSince;
    if (this->newer.size() < maxAnsweredRequests && age <= answeredPeriod) {
        return;
    }
    this->older = std::move(this->newer);
    this->newer.clear();
    if (age > answeredPeriod * 2) {
        this->older.clear();
    }
    this->newerSince = now;
}

bool CrashGuard::AnsweredRequests::contains(RequestDigest request, TimePoint now)
{
    this->dropOld(now);
    return this->newer.contains(request) || this->older.contains(request);
}

void CrashGuard::AnsweredRequests::insert(RequestDigest request, TimePoint now)
{
    this->dropOld(now);
    this->newer.insert(request);
}

bool CrashGuard::recordBroken(const BrokenAttempt &broken, TimePoint now)
{
    if (this->answered.contains(broken.request, now)) {
        return false;
    }
    this->crashes.expire(now);
    if (!this->crashes.record(broken, now)) {
        return false;
    }
    this->addPending(broken, now);
    return true;
}

void CrashGuard::addPending(const BrokenAttempt &broken, TimePoint now)
{
    this->pendingBroken.add({ broken.request, broken.attempt, now - broken.age });
}

void CrashGuard::recordAnswered(RequestDigest request, TimePoint now)
{
    this->answered.insert(request, now);
    this->clear(request, now);
}

void CrashGuard::clear(RequestDigest request, TimePoint now)
{
    if (this->crashes.clear(request, now)) {
        this->pendingAnswers.add(request);
    }
}

// Clears what other gateways suspect although an upstream has answered it here lately.
void CrashGuard::clearAnswered(const std::vector<SuspectRequest> &suspects, TimePoint now)
{
    for (const SuspectRequest &suspect : suspects) {
        if (this->answered.contains(suspect.request, now)) {
            this->clear(suspect.request, now);
        }
    }
}

void CrashGuard::fillReport(GatewayReport &report, TimePoint now)
{
    report.broken.clear();
    for (const PendingAttempt &pending : this->pendingBroken.report()) {
        report.broken.push_back({ pending.request, pending.attempt, now - pending.brokenAt,
                                  this->crashes.trialsOf(pending.request).count });
    }
    report.trials = this->trialRequests.takeReport();
    report.answered = this->pendingAnswers.report();
    report.suspectsTag = this->leaderTag;
}

bool CrashGuard::applyUpdate(const GatewayUpdate &update, TimePoint now)
{
    // The reply shows that the leader has received the report.
    this->pendingBroken.confirm();
    this->pendingAnswers.confirm();
    return this->applyLateUpdate(update, now);
}

bool CrashGuard::applyLateUpdate(const GatewayUpdate &update, TimePoint now)
{
    this->leaderTag = update.suspectsTag;
    if (!update.suspects) {
        return false;
    }
    this->crashes.expire(now);
    this->crashes.merge(*update.suspects, now);
    this->clearAnswered(*update.suspects, now);
    // A new leader learns from the gateways what the previous one knew.
    for (const BrokenAttempt &broken : this->crashes.unknownTo(*update.suspects, now)) {
        this->addPending(broken, now);
    }
    return this->trialRequests.update(this->crashes);
}

} // namespace cassiaroad
