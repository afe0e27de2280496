#include "version/rangesupervisor.h"

#include "version/joinedranges.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

// Handovers are used within a second; older ones belong to moves that were abandoned.
constexpr std::size_t maxHandovers = 256;
constexpr Milliseconds overloadCheckInterval { 200 }; // each check adds up the load of all keys
// The search for a range to release adds up the load of all keys. Without this interval, most
// heartbeats of hundreds of upstreams would cause a search while new upstreams wait for keys.
constexpr Milliseconds minPlanInterval { 25 };

bool isInEvacuatedZone(const UpstreamIncarnation &incarnation, const RangeContext &context)
{
    const SiteUpstream *upstream = context.state.find(incarnation);
    return upstream != nullptr && context.state.evacuations().contains(upstream->zone);
}

} // namespace

RangeSupervisor::RangeSupervisor(std::string service, RangeTiming timing)
    : service(std::move(service))
    , timing(timing)
{ }

void RangeSupervisor::startTerm()
{
    this->moving.clear();
    this->handovers.clear();
    this->leavingSince.clear();
    this->lastMoveAt.clear();
    this->refused.clear();
    this->load = KeyLoad(); // an earlier term's load would lower the rates of this one
}

void RangeSupervisor::addLoad(KeyNumber key, std::uint32_t requests, TimePoint now)
{
    this->load.add(key, requests, now);
}

const RangeTable *RangeSupervisor::table(const RangeContext &context) const
{
    const auto found = context.state.ranges().find(this->service);
    return found == context.state.ranges().end() ? nullptr : &found->second;
}

// Whether @p incarnation may be assigned ranges and keep those that it owns.
bool RangeSupervisor::isUsable(const UpstreamIncarnation &incarnation,
                               const RangeContext &context) const
{
    const SiteUpstream *upstream = context.state.find(incarnation);
    return upstream != nullptr && upstream->service == this->service
           && context.state.mayBeGivenWork(*upstream) && this->isAtHome(*upstream)
           && !context.monitor.isSilent(incarnation, context.now);
}

// Whether @p upstream is in a home zone of the service. If no upstream of these zones is available,
// the others own the keys, for requests of routes without home regions.
bool RangeSupervisor::isAtHome(const SiteUpstream &upstream) const
{
    return !this->homeZones || !this->hasUpstreamAtHome || this->homeZones->contains(upstream.zone);
}

void RangeSupervisor::checkHomeZones(const RangeContext &context)
{
    if (!this->homeZones) {
        return;
    }
    const auto &upstreams = context.state.upstreams();
    this->hasUpstreamAtHome
            = std::any_of(upstreams.begin(), upstreams.end(), [&](const auto &entry) {
                  const SiteUpstream &upstream = entry.second;
                  return upstream.service == this->service
                         && this->homeZones->contains(upstream.zone)
                         && context.state.mayBeGivenWork(upstream)
                         && !context.monitor.isSilent(upstream.incarnation, context.now);
              });
}

// Returns the upstreams of the service, each with the time until its first heartbeat that is
// expected at least @p minDelay from now.
std::vector<PlacementCandidate> RangeSupervisor::placementCandidates(const RangeContext &context,
                                                                     Milliseconds minDelay) const
{
    std::vector<PlacementCandidate> result;
    for (const auto &[id, upstream] : context.state.upstreams()) {
        if (upstream.service != this->service) {
            continue;
        }
        const Milliseconds deliveryDelay = this->timing.callDuration.value_or(
                context.monitor.timeToNextHeartbeat(upstream.incarnation, minDelay, context.now));
        result.push_back({ upstream.incarnation, upstream.slots,
                           context.monitor.serviceMilliseconds(id), deliveryDelay,
                           this->isUsable(upstream.incarnation, context) });
    }
    return result;
}

// Starts the release of all ranges of @p incarnation, which may not keep them.
void RangeSupervisor::releaseAll(const UpstreamIncarnation &incarnation,
                                 const RangeContext &context)
{
    std::vector<KeyRange> ranges;
    for (const RangeOwner &entry : this->table(context)->owners()) {
        if (entry.owner == incarnation && !this->moving.overlaps(entry.range)
            && this->canConfirmRelease(entry, context)) {
            ranges.push_back(entry.range);
        }
    }
    if (ranges.empty()) {
        return;
    }
    const std::vector<PlacementCandidate> candidates
            = this->placementCandidates(context, this->timing.release);
    RangePlanner planner({ *this->table(context), this->load, candidates });
    for (const RangeTransfer &transfer : planner.replaceOwner(ranges)) {
        this->moving.add({ transfer.range, incarnation, transfer.to });
        ++this->changes;
    }
}

// Updates the set of overloaded upstreams. This adds up the load of all keys, so it is done a few
// times a second and not at each heartbeat.
void RangeSupervisor::findOverloaded(const RangeContext &context)
{
    if (context.now - this->overloadCheckedAt < overloadCheckInterval) {
        return;
    }
    this->overloadCheckedAt = context.now;
    this->overloaded.clear();
    const std::vector<PlacementCandidate> candidates
            = this->placementCandidates(context, this->timing.release);
    const RangePlanner planner({ *this->table(context), this->load, candidates });
    for (const PlacementCandidate &candidate : candidates) {
        if (planner.canRelieve(candidate.incarnation)) {
            this->overloaded.insert(candidate.incarnation);
        }
    }
}

// Returns the upstreams that are to receive a range once its owner has released it.
std::set<UpstreamIncarnation> RangeSupervisor::receiversOfReleases() const
{
    std::set<UpstreamIncarnation> receivers;
    for (const auto &[firstKey, range] : this->moving.all()) {
        if (!range.transferProposed) {
            receivers.insert(range.to);
        }
    }
    return receivers;
}

// Starts the release of all ranges of @p incarnation if it leaves, its zone is evacuated or it is
// outside the home zones, or of one range if it is overloaded.
void RangeSupervisor::planReleases(const UpstreamIncarnation &incarnation,
                                   const RangeContext &context)
{
    const SiteUpstream *upstream = context.state.find(incarnation);
    if (upstream == nullptr) {
        return;
    }
    if (!context.state.mayBeGivenWork(*upstream) || !this->isAtHome(*upstream)) {
        this->releaseAll(incarnation, context);
        return;
    }
    if (!this->overloaded.contains(incarnation)) {
        return;
    }
    const auto moved = this->lastMoveAt.find(incarnation);
    const bool movedRecently = moved != this->lastMoveAt.end()
                               && context.now - moved->second < this->timing.minMoveInterval;
    const bool plannedRecently = context.now - this->plannedAt < minPlanInterval;
    if (movedRecently || plannedRecently || this->moving.isReleasingFrom(incarnation)) {
        return;
    }
    this->plannedAt = context.now;
    std::vector<PlacementCandidate> candidates
            = this->placementCandidates(context, this->timing.release);
    const std::set<UpstreamIncarnation> receivers = this->receiversOfReleases();
    for (PlacementCandidate &candidate : candidates) {
        candidate.hasIncomingKeys = receivers.contains(candidate.incarnation);
    }
    RangePlanner planner({ *this->table(context), this->load, candidates });
    const std::optional<RangeTransfer> transfer = planner.relieve(incarnation);
    if (!transfer || this->moving.overlaps(transfer->range)
        || !this->canConfirmRelease(*this->table(context)->find(transfer->range.from), context)) {
        return;
    }
    this->moving.add({ transfer->range, incarnation, transfer->to });
    ++this->changes;
    this->lastMoveAt[incarnation] = context.now;
}

std::vector<RangeLease> RangeSupervisor::leasesFor(const UpstreamIncarnation &incarnation,
                                                   const RangeContext &context)
{
    const RangeTable *ranges = this->table(context);
    if (ranges == nullptr) {
        return {};
    }
    this->planReleases(incarnation, context);
    std::vector<RangeLease> leases;
    for (const RangeOwner &entry : ranges->owners()) {
        if (entry.owner != incarnation) {
            continue;
        }
        for (const KeyRange &part : this->moving.retainedParts(entry.range)) {
            leases.push_back({ part, entry.fence, entry.handover });
        }
    }
    return leases;
}

std::vector<ReleaseCall> RangeSupervisor::releasesOf(const UpstreamIncarnation &incarnation,
                                                     const RangeContext &context) const
{
    std::vector<ReleaseCall> releases;
    const RangeTable *ranges = this->table(context);
    for (const auto &[firstKey, range] : this->moving.all()) {
        const RangeOwner *entry = ranges == nullptr ? nullptr : ranges->find(firstKey);
        const bool isOwner = entry != nullptr && entry->owner == incarnation;
        if (range.from == incarnation && !range.transferProposed && isOwner) {
            releases.push_back({ range.range, entry->fence });
        }
    }
    return releases;
}

// Whether the release of the range of @p entry can be confirmed before the leases on it have
// expired. If not, the owner serves it until then.
bool RangeSupervisor::canConfirmRelease(const RangeOwner &entry, const RangeContext &context) const
{
    return context.rangeLeases.canConfirmRelease(this->service, entry, context.now);
}

void RangeSupervisor::recordReleases(const UpstreamIncarnation &incarnation,
                                     const std::vector<RangeRelease> &releases)
{
    for (const RangeRelease &release : releases) {
        this->handovers.push_back({ incarnation, release });
    }
    if (this->handovers.size() > maxHandovers) {
        this->handovers.erase(this->handovers.begin(),
                              this->handovers.end() - static_cast<std::ptrdiff_t>(maxHandovers));
    }
}

std::string RangeSupervisor::handoverOf(const UpstreamIncarnation &from,
                                        const KeyRange &range) const
{
    for (auto handover = this->handovers.rbegin(); handover != this->handovers.rend(); ++handover) {
        if (handover->from == from && handover->release.range.contains(range)) {
            return handover->release.handover;
        }
    }
    return {};
}

// Returns the first assignment of all keys of the service, or nothing while it is too early.
std::vector<RangeTransfer> RangeSupervisor::firstTransfers(const RangeContext &context) const
{
    const std::vector<PlacementCandidate> candidates
            = this->placementCandidates(context, this->timing.commitDuration);
    TimePoint first = context.now;
    bool hasCandidate = false;
    for (const PlacementCandidate &candidateOwner : candidates) {
        if (candidateOwner.canReceiveKeys) {
            hasCandidate = true;
            first = std::min(first, context.monitor.firstSeen(candidateOwner.incarnation));
        }
    }
    // An upstream whose first heartbeat reached no leader repeats it after one or two heartbeat
    // intervals; the assignment waits for it.
    if (!hasCandidate || context.now - first < this->timing.heartbeatInterval * 5 / 2) {
        return {};
    }
    return RangePlanner::firstAssignment(candidates);
}

// Returns the transfers of the ranges whose release is finished, and removes these from the moving
// ranges.
std::vector<RangeTransfer> RangeSupervisor::finishReleases(const RangeContext &context)
{
    std::vector<MovingRange> ended; // also those that have another owner by now
    std::vector<MovingRange> released;
    for (const auto &[firstKey, release] : this->moving.all()) {
        const RangeOwner *entry = this->table(context)->find(firstKey);
        if (entry == nullptr || entry->owner != release.from) {
            ended.push_back(release);
        } else if (context.rangeLeases.isReleased(this->service, *entry, release.range,
                                                  context.now)) {
            ended.push_back(release);
            released.push_back(release);
        }
    }
    for (const MovingRange &release : ended) {
        this->moving.remove(release.range);
    }
    this->changes += ended.empty() ? 0 : 1;
    return this->transfersOf(released, context);
}

// Returns the transfers of ranges that their owners have released.
std::vector<RangeTransfer> RangeSupervisor::transfersOf(const std::vector<MovingRange> &released,
                                                        const RangeContext &context) const
{
    std::vector<RangeTransfer> transfers;
    if (released.empty()) {
        return transfers;
    }
    // Requests in progress can delay a release, so by now another target may send its next
    // heartbeat sooner than the planned one.
    const std::vector<PlacementCandidate> candidates
            = this->placementCandidates(context, this->timing.commitDuration);
    RangePlanner planner({ *this->table(context), this->load, candidates });
    for (const MovingRange &release : released) {
        if (const auto to = planner.targetOf(release.range, release.from, release.to)) {
            transfers.push_back(
                    { release.range, *to, this->handoverOf(release.from, release.range) });
        }
    }
    return transfers;
}

// Returns transfers of the ranges whose owner cannot serve them and can have no valid lease on them
// any more, except those of @p others. Since nobody has a lease on them, neighbours are joined.
std::vector<RangeTransfer> RangeSupervisor::replaceUnavailableOwners(
        const std::vector<RangeTransfer> &others, const RangeContext &context) const
{
    JoinedRanges ownerless;
    std::vector<RangeTransfer> transfers;
    for (const RangeOwner &entry : this->table(context)->owners()) {
        if (this->isUsable(entry.owner, context) || this->moving.overlaps(entry.range)) {
            continue;
        }
        // Also of an owner that is not registered any more: it may be up all the same.
        if (!context.rangeLeases.isReleased(this->service, entry, entry.range, context.now)
            || overlapsAny(others, entry.range)) {
            continue;
        }
        const auto successor = context.state.upstreams().find(entry.owner.id);
        if (successor != context.state.upstreams().end()
            && this->isUsable(successor->second.incarnation, context)) {
            addJoined(transfers, { entry.range, successor->second.incarnation, {} });
            continue;
        }
        ownerless.add(entry.range);
    }
    if (!ownerless.all().empty()) {
        const std::vector<PlacementCandidate> candidates
                = this->placementCandidates(context, this->timing.commitDuration);
        RangePlanner planner({ *this->table(context), this->load, candidates });
        const std::vector<RangeTransfer> replaced = planner.replaceOwner(ownerless.all());
        transfers.insert(transfers.end(), replaced.begin(), replaced.end());
    }
    return transfers;
}

// Returns transfers that give ranges whose leases were refused a higher fencing token. An upstream
// of an evacuated zone is assigned none; its ranges go to other upstreams.
std::vector<RangeTransfer> RangeSupervisor::renewRefused(const RangeContext &context)
{
    std::vector<RangeTransfer> transfers;
    for (const RangeOwner &entry : this->table(context)->owners()) {
        if (this->refused.contains(entry.fence) && !this->moving.overlaps(entry.range)
            && !isInEvacuatedZone(entry.owner, context)) {
            transfers.push_back({ entry.range, entry.owner, entry.handover });
        }
    }
    this->refused.clear();
    return transfers;
}

std::vector<RangeTransfer> RangeSupervisor::dueTransfers(const RangeContext &context)
{
    this->load.decay(context.now);
    this->checkHomeZones(context);
    if (this->moving.hasProposed()) {
        return {};
    }
    std::vector<RangeTransfer> transfers;
    const RangeTable *ranges = this->table(context);
    if (ranges == nullptr) {
        transfers = this->firstTransfers(context);
    } else {
        this->findOverloaded(context);
        transfers = this->finishReleases(context);
        // A released range for which no target was available is in `ownerless` at the next call.
        const std::vector<RangeTransfer> ownerless
                = this->replaceUnavailableOwners(transfers, context);
        transfers.insert(transfers.end(), ownerless.begin(), ownerless.end());
        for (const RangeTransfer &renewed : this->renewRefused(context)) {
            if (!overlapsAny(transfers, renewed.range)) {
                transfers.push_back(renewed);
            }
        }
    }
    this->recordProposed(transfers, ranges);
    return transfers;
}

RangePhase RangeSupervisor::phaseOf(const RangeOwner &entry, const RangeContext &context) const
{
    const SiteUpstream *upstream = context.state.find(entry.owner);
    if (upstream == nullptr || isInEvacuatedZone(entry.owner, context)) {
        return RangePhase::Pending;
    }
    if (upstream->phase != UpstreamPhase::Ready) {
        const auto since = this->leavingSince.find(entry.owner);
        const bool graceEnded = since != this->leavingSince.end()
                                && context.now - since->second > this->timing.leavingGracePeriod;
        return graceEnded ? RangePhase::Pending : RangePhase::Owned;
    }
    if (context.rangeLeases.isGranted(entry)) {
        return RangePhase::Owned;
    }
    // The leader of an earlier term probably granted a lease on an entry of that term.
    return context.rangeLeases.isFromThisTerm(this->service, entry) ? RangePhase::Pending
                                                                    : RangePhase::Owned;
}

std::vector<RoutedRange> RangeSupervisor::routedRanges(const RangeContext &context) const
{
    std::vector<RoutedRange> result;
    const RangeTable *ranges = this->table(context);
    if (ranges == nullptr) {
        return result;
    }
    for (const RangeOwner &entry : ranges->owners()) {
        for (const MovingRange &range : this->moving.within(entry.range)) {
            // Joined neighbours reach beyond the entry.
            const KeyRange part { std::max(range.range.from, entry.range.from),
                                  std::min(range.range.to, entry.range.to) };
            result.push_back({ part, range.to.id, RangePhase::Releasing });
        }
        const RangePhase phase = this->phaseOf(entry, context);
        for (const KeyRange &part : this->moving.retainedParts(entry.range)) {
            result.push_back({ part, entry.owner.id, phase });
        }
    }
    std::sort(result.begin(), result.end(),
              [](const RoutedRange &a, const RoutedRange &b) { return a.range < b.range; });
    return result;
}

} // namespace cassiaroad
