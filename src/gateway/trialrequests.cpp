#include "gateway/trialrequests.h"

#include <utility>

namespace cassiaroad {

namespace {

// After this time without a decision, as while there is no leader, a gateway asks again.
constexpr Milliseconds decisionTimeout { 1000 };

} // namespace

bool TrialRequests::ask(RequestDigest request, const CrashLedger &ledger, TimePoint now)
{
    if (ledger.trialDueIn(request, now) != Milliseconds {}) {
        return false;
    }
    const auto found = this->asked.find(request);
    if (found != this->asked.end() && now - found->second.askedAt < decisionTimeout) {
        return false;
    }
    this->asked[request] = { ledger.trialsOf(request).count, now };
    this->unreported.push_back(request);
    return true;
}

void TrialRequests::giveBack(RequestDigest request, const CrashLedger &ledger)
{
    if (ledger.isBlocked(request)) {
        this->granted.insert(request);
    }
}

bool TrialRequests::update(const CrashLedger &ledger)
{
    std::erase_if(this->granted, [&](RequestDigest request) { return !ledger.isBlocked(request); });
    const std::size_t decided = std::erase_if(this->asked, [&](const auto &entry) {
        const auto &[request, ask] = entry;
        const RequestTrials trials = ledger.trialsOf(request);
        const bool isTaken = trials.count > ask.earlierTrials;
        if (isTaken && trials.gateway == this->gateway) {
            this->granted.insert(request);
        }
        return isTaken || !ledger.isBlocked(request);
    });
    return decided > 0;
}

std::vector<RequestDigest> TrialRequests::takeReport()
{
    return std::exchange(this->unreported, {});
}

} // namespace cassiaroad
