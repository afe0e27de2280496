#include "version/rangeleasetable.h"

#include <algorithm>

namespace cassiaroad {

namespace {

bool overlapsAny(const std::vector<RangeLease> &leases, const KeyRange &range)
{
    return std::any_of(leases.begin(), leases.end(),
                       [&](const RangeLease &lease) { return lease.range.overlaps(range); });
}

} // namespace

void RangeLeaseTable::startTerm(TimePoint now)
{
    this->termStart = now;
    this->fencesAtStart.clear();
    this->incarnations.clear();
}

void RangeLeaseTable::setFenceAtStart(const std::string &service, FencingToken fence)
{
    this->fencesAtStart[service] = fence;
}

void RangeLeaseTable::recordReport(const UpstreamIncarnation &incarnation, std::uint64_t sequence,
                                   const std::vector<RangeLease> &leases)
{
    IncarnationLeases &known = this->incarnations[incarnation];
    known.lastReport = leases;
    known.responseBeforeReport = known.lastResponse;
    known.reportedAfterResponse = known.hasResponse && sequence > known.lastResponseSequence;
}

bool RangeLeaseTable::recordResponse(const UpstreamIncarnation &incarnation, std::uint64_t sequence,
                                     const std::vector<RangeLease> &leases, TimePoint now)
{
    IncarnationLeases &known = this->incarnations[incarnation];
    known.hasResponse = true;
    known.lastResponseSequence = sequence;
    known.lastResponse = leases;
    bool isFirst = false;
    for (const RangeLease &lease : leases) {
        const auto [granted, isNew] = known.grantedUntil.try_emplace(lease.fence);
        granted->second = now + this->timing.leaseDurationOnLeaderClock;
        isFirst = isFirst || isNew;
    }
    return isFirst;
}

bool RangeLeaseTable::mayHaveLease(const std::string &service, const RangeOwner &owner,
                                   const IncarnationLeases *leases, TimePoint now) const
{
    TimePoint until;
    if (!this->isFromThisTerm(service, owner)) {
        until = this->termStart + this->timing.leaseDurationOnLeaderClock;
    }
    if (leases != nullptr) {
        const auto granted = leases->grantedUntil.find(owner.fence);
        if (granted != leases->grantedUntil.end()) {
            until = std::max(until, granted->second);
        }
    }
    return now < until;
}

bool RangeLeaseTable::isReleased(const std::string &service, const RangeOwner &owner,
                                 const KeyRange &range, TimePoint now) const
{
    const auto found = this->incarnations.find(owner.owner);
    const IncarnationLeases *leases = found == this->incarnations.end() ? nullptr : &found->second;
    if (!this->mayHaveLease(service, owner, leases, now)) {
        return true;
    }
    // While a lease may be valid, only a report counts that the upstream sent when it knew that
    // its leases no longer cover the range.
    return leases != nullptr && leases->reportedAfterResponse
           && !overlapsAny(leases->lastReport, range)
           && !overlapsAny(leases->responseBeforeReport, range)
           && !overlapsAny(leases->lastResponse, range);
}

bool RangeLeaseTable::isGranted(const RangeOwner &owner) const
{
    const auto found = this->incarnations.find(owner.owner);
    return found != this->incarnations.end() && found->second.grantedUntil.contains(owner.fence);
}

bool RangeLeaseTable::isFromThisTerm(const std::string &service, const RangeOwner &owner) const
{
    const auto atStart = this->fencesAtStart.find(service);
    return atStart == this->fencesAtStart.end() || owner.fence > atStart->second;
}

} // namespace cassiaroad
