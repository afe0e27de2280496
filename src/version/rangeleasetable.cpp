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
    this->servicesAtStart.clear();
    this->incarnations.clear();
}

void RangeLeaseTable::setFenceAtStart(const std::string &service, FencingToken fence,
                                      LeaseDelivery delivery)
{
    this->servicesAtStart[service] = { fence, delivery };
}

// Returns when the leases that earlier leaders have granted end at the latest.
TimePoint RangeLeaseTable::endOfEarlierLeases(const std::string &service) const
{
    const TimePoint end = this->termStart + this->timing.leaseDurationOnLeaderClock;
    const auto atStart = this->servicesAtStart.find(service);
    const bool isByCall = atStart != this->servicesAtStart.end()
                          && atStart->second.delivery == LeaseDelivery::Call;
    return isByCall ? end + this->timing.callTimeout : end;
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
    // A registration may begin again with lower numbers; then reports prove nothing for now.
    known.lastResponseSequence = std::max(known.lastResponseSequence, sequence);
    known.lastResponse = leases;
    bool isFirst = false;
    for (const RangeLease &lease : leases) {
        const auto [granted, isNew] = known.grantedUntil.try_emplace(lease.fence);
        granted->second = now + this->timing.leaseDurationOnLeaderClock;
        isFirst = isFirst || isNew;
    }
    return isFirst;
}

void RangeLeaseTable::recordGrantSent(const UpstreamIncarnation &incarnation, std::uint64_t number,
                                      const RangeLease &lease, TimePoint now)
{
    CalledLeases &calls = this->incarnations[incarnation].calls;
    calls.expire(now);
    const TimePoint latestArrival = now + this->timing.callTimeout;
    calls.recordSent(number, lease.range, lease.fence,
                     latestArrival + this->timing.leaseDurationOnLeaderClock);
}

bool RangeLeaseTable::recordGrantAccepted(const UpstreamIncarnation &incarnation,
                                          std::uint64_t number, TimePoint now)
{
    return this->incarnations[incarnation].calls.recordAccepted(
            number, now + this->timing.leaseDurationOnLeaderClock);
}

void RangeLeaseTable::recordGrantWithoutEffect(const UpstreamIncarnation &incarnation,
                                               std::uint64_t number)
{
    this->incarnations[incarnation].calls.recordWithoutEffect(number);
}

void RangeLeaseTable::recordReleased(const UpstreamIncarnation &incarnation, const KeyRange &range,
                                     FencingToken fence)
{
    this->incarnations[incarnation].calls.recordReleased(range, fence);
}

bool RangeLeaseTable::canConfirmRelease(const std::string &service, const RangeOwner &owner,
                                        TimePoint now) const
{
    const auto atStart = this->servicesAtStart.find(service);
    return atStart == this->servicesAtStart.end()
           || atStart->second.delivery == LeaseDelivery::Heartbeat
           || this->isFromThisTerm(service, owner) || now >= this->endOfEarlierLeases(service);
}

bool RangeLeaseTable::mayHaveLease(const std::string &service, const RangeOwner &owner,
                                   const IncarnationLeases *leases, TimePoint now) const
{
    TimePoint until;
    if (!this->isFromThisTerm(service, owner)) {
        until = this->endOfEarlierLeases(service);
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
    if (leases != nullptr && leases->hasEnded) {
        return true;
    }
    if (leases != nullptr && leases->calls.mayHold(range, now)) {
        return false;
    }
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

void RangeLeaseTable::forgetOthers(
        const std::function<bool(const UpstreamIncarnation &)> &isRegistered, TimePoint now)
{
    // While a lease of an earlier leader may be valid, it matters who has ended.
    const TimePoint endOfEarlier
            = this->termStart + this->timing.leaseDurationOnLeaderClock + this->timing.callTimeout;
    if (now < endOfEarlier) {
        return;
    }
    std::erase_if(this->incarnations, [&](const auto &entry) {
        const IncarnationLeases &leases = entry.second;
        const bool mayHold = std::any_of(leases.grantedUntil.begin(), leases.grantedUntil.end(),
                                         [&](const auto &granted) { return now < granted.second; });
        return !mayHold && !leases.calls.mayHold({ 0, lastKey }, now) && !isRegistered(entry.first);
    });
}

bool RangeLeaseTable::isGranted(const RangeOwner &owner) const
{
    const auto found = this->incarnations.find(owner.owner);
    return found != this->incarnations.end()
           && (found->second.grantedUntil.contains(owner.fence)
               || found->second.calls.isGranted(owner.fence));
}

bool RangeLeaseTable::isFromThisTerm(const std::string &service, const RangeOwner &owner) const
{
    const auto atStart = this->servicesAtStart.find(service);
    return atStart == this->servicesAtStart.end() || owner.fence > atStart->second.fence;
}

} // namespace cassiaroad
