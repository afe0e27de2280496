#include "version/holdledger.h"

#include <algorithm>

namespace cassiaroad {

namespace {

bool overlapsAny(const std::vector<RangeHold> &holds, const KeyRange &range)
{
    return std::any_of(holds.begin(), holds.end(),
                       [&](const RangeHold &hold) { return hold.range.overlaps(range); });
}

} // namespace

void HoldLedger::startTerm(TimePoint now)
{
    this->termStart = now;
    this->fencesAtStart.clear();
    this->lives.clear();
}

void HoldLedger::setFenceAtStart(const std::string &service, Fence fence)
{
    this->fencesAtStart[service] = fence;
}

void HoldLedger::noteReport(const UpstreamLife &life, std::uint64_t sequence,
                            const std::vector<RangeHold> &holds)
{
    LifeHolds &known = this->lives[life];
    known.lastReport = holds;
    known.answerBeforeReport = known.lastAnswer;
    known.reportedAfterAnswer = known.answered && sequence > known.answeredSequence;
}

bool HoldLedger::noteAnswer(const UpstreamLife &life, std::uint64_t sequence,
                            const std::vector<RangeHold> &holds, TimePoint now)
{
    LifeHolds &known = this->lives[life];
    known.answered = true;
    known.answeredSequence = sequence;
    known.lastAnswer = holds;
    bool isFirst = false;
    for (const RangeHold &hold : holds) {
        const auto [granted, isNew] = known.grantedUntil.try_emplace(hold.fence);
        granted->second = now + this->times.longest;
        isFirst = isFirst || isNew;
    }
    return isFirst;
}

bool HoldLedger::mayHold(const std::string &service, const RangeOwner &owner,
                         const LifeHolds *holds, TimePoint now) const
{
    TimePoint until;
    if (!this->isFromThisTerm(service, owner)) {
        until = this->termStart + this->times.longest;
    }
    if (holds != nullptr) {
        const auto granted = holds->grantedUntil.find(owner.fence);
        if (granted != holds->grantedUntil.end()) {
            until = std::max(until, granted->second);
        }
    }
    return now < until;
}

bool HoldLedger::isReleased(const std::string &service, const RangeOwner &owner,
                            const KeyRange &range, TimePoint now) const
{
    const auto found = this->lives.find(owner.owner);
    const LifeHolds *holds = found == this->lives.end() ? nullptr : &found->second;
    if (!this->mayHold(service, owner, holds, now)) {
        return true;
    }
    // The report must have been sent by an upstream that knew that the range was left out.
    return holds != nullptr && holds->reportedAfterAnswer && !overlapsAny(holds->lastReport, range)
           && !overlapsAny(holds->answerBeforeReport, range)
           && !overlapsAny(holds->lastAnswer, range);
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
