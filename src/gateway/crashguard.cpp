#include "gateway/crashguard.h"

#include <utility>

namespace cassiaroad {

namespace {

constexpr std::size_t maxAnsweredRequests = 2048; // in each half
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

bool CrashGuard::recordBroken(const BrokenAttempt &broken, TimePoint now)
{
    if (this->answered.contains(broken.request)) {
        return false;
    }
    this->crashes.expire(now);
    if (!this->crashes.record(broken, now)) {
        return false;
    }
    this->pendingBroken.add(broken);
    return true;
}

void CrashGuard::recordAnswered(RequestDigest request, TimePoint now)
{
    this->answered.insert(request);
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
        if (this->answered.contains(suspect.request)) {
            this->clear(suspect.request, now);
        }
    }
}

void CrashGuard::fillReport(GatewayReport &report)
{
    report.broken = this->pendingBroken.report();
    report.answered = this->pendingAnswers.report();
    report.suspectsTag = this->leaderTag;
}

void CrashGuard::applyUpdate(const GatewayUpdate &update, TimePoint now)
{
    // The reply shows that the leader has received the report.
    this->pendingBroken.confirm();
    this->pendingAnswers.confirm();
    this->leaderTag = update.suspectsTag;
    if (!update.suspects) {
        return;
    }
    this->crashes.expire(now);
    this->crashes.merge(*update.suspects, now);
    this->clearAnswered(*update.suspects, now);
    // A new leader learns from the gateways what the previous one knew.
    for (const BrokenAttempt &broken : this->crashes.unknownTo(*update.suspects, now)) {
        this->pendingBroken.add(broken);
    }
}

} // namespace cassiaroad
