#include "version/holdledger.h"

#include <algorithm>

namespace cassiaroad {

namespace {

bool overlapsAny(const std::vector<RangeLease> &leases, const KeyRange &range)
{
    return std::any_of(leases.begin(), leases.end(),
                       [&](const RangeLease &hold) { return hold.range.overlaps(range); });
}

} // namespace

void HoldLedger::startTerm(TimePoint now)
{
    this->termStart = now;
    this->fencesAtStart.clear();
    this->lives.clear();
}

void HoldLedger::setFenceAtStart(const std::string &service, FencingToken fence)
{
    this->fencesAtStart[service] = fence;
}

void HoldLedger::noteReport(const UpstreamIncarnation &life, std::uint64_t sequence,
                            const std::vector<RangeLease> &leases)
{
    LifeHolds &known = this->lives[life];
    known.lastReport = leases;
    known.answerBeforeReport = known.lastAnswer;
    known.reportedAfterAnswer = known.answered && sequence > known.answeredSequence;
}

bool HoldLedger::recordResponse(const UpstreamIncarnation &life, std::uint64_t sequence,
                                const std::vector<RangeLease> &leases, TimePoint now)
{
    LifeHolds &known = this->lives[life];
    known.answered = true;
    known.answeredSequence = sequence;
    known.lastAnswer = leases;
    bool isFirst = false;
    for (const RangeLease &hold : leases) {
        const auto [granted, isNew] = known.grantedUntil.try_emplace(hold.fence);
        granted->second = now + this->times.holdOnLeaderClock;
        isFirst = isFirst || isNew;
    }
    return isFirst;
}

bool HoldLedger::mayHold(const std::string &service, const RangeOwner &owner,
                         const LifeHolds *leases, TimePoint now) const
{
    TimePoint until;
    if (!this->isFromThisTerm(service, owner)) {
        until = this->termStart + this->times.holdOnLeaderClock;
    }
    if (leases != nullptr) {
        const auto granted = leases->grantedUntil.find(owner.fence);
        if (granted != leases->grantedUntil.end()) {
            until = std::max(until, granted->second);
        }
    }
    return now < until;
}

bool HoldLedger::isReleased(const std::string &service, const RangeOwner &owner,
                            const KeyRange &range, TimePoint now) const
{
    const auto found = this->lives.find(owner.owner);
    const LifeHolds *leases = found == this->lives.end() ? nullptr : &found->second;
    if (!this->mayHold(service, owner, leases, now)) {
        return true;
    }
    // The report must have been sent by an upstream that knew that the range was left out.
    return leases != nullptr && leases->reportedAfterAnswer
           && !overlapsAny(leases->lastReport, range)
           && !overlapsAny(leases->answerBeforeReport, range)
           && !overlapsAny(leases->lastAnswer, range);
}

bool HoldLedger::isGranted(const RangeOwner &owner) const
{
    const auto found = this->lives.find(owner.owner);
    return found != this->lives.end() && found->second.grantedUntil.contains(owner.fence);
}

bool HoldLedger::isFromThisTerm(const std::string &service, const RangeOwner &owner) const
{
    const auto atStart = this->fencesAtStart.find(service);
    return atStart == this->fencesAtStart.end() || owner.fence > atStart->second;
}

} // namespace cassiaroad
