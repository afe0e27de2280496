#include "version/rangesupervisor.h"

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

// Returns the parts of @p ranges that @p removed does not contain.
std::vector<KeyRange> without(const std::vector<KeyRange> &ranges, const KeyRange &removed)
{
    std::vector<KeyRange> parts;
    for (const KeyRange &range : ranges) {
        if (!range.overlaps(removed)) {
            parts.push_back(range);
            continue;
        }
        if (range.from < removed.from) {
            parts.push_back({ range.from, removed.from - 1 });
        }
        if (removed.to < range.to) {
            parts.push_back({ removed.to + 1, range.to });
        }
    }
    return parts;
}

} // namespace

RangeSupervisor::RangeSupervisor(std::string service, RangeTiming timing)
    : service(std::move(service))
    , timing(timing)
{ }

void RangeSupervisor::startTerm()
{
    this->releasing.clear();
    this->handovers.clear();
    this->leavingSince.clear();
    this->lastMoveAt.clear();
    this->transfersInFlight.clear();
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
           && upstream->phase == UpstreamPhase::Ready
           && !context.monitor.isSilent(incarnation, context.now);
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
        result.push_back(
                { upstream.incarnation, upstream.slots, context.monitor.serviceMilliseconds(id),
                  context.monitor.timeToNextHeartbeat(upstream.incarnation, minDelay, context.now),
                  this->isUsable(upstream.incarnation, context) });
    }
    return result;
}

// Whether a part of @p range is being released or transferred.
bool RangeSupervisor::isMoving(const KeyRange &range) const
{
    const auto overlaps = [&](const auto &moving) { return moving.range.overlaps(range); };
    return std::any_of(this->releasing.begin(), this->releasing.end(), overlaps)
           || std::any_of(this->transfersInFlight.begin(), this->transfersInFlight.end(), overlaps);
}

// Returns the parts of @p entry that its owner keeps: those that are neither being released nor
// transferred.
std::vector<KeyRange> RangeSupervisor::retainedParts(const RangeOwner &entry) const
{
    std::vector<KeyRange> parts { entry.range };
    for (const ReleasingRange &release : this->releasing) {
        if (release.from == entry.owner) {
            parts = without(parts, release.range);
        }
    }
    for (const RangeTransfer &transfer : this->transfersInFlight) {
        parts = without(parts, transfer.range);
    }
    return parts;
}

// Starts the release of all ranges of @p incarnation, which leaves.
void RangeSupervisor::releaseAll(const UpstreamIncarnation &incarnation,
                                 const RangeContext &context)
{
    std::vector<KeyRange> ranges;
    for (const RangeOwner &entry : this->table(context)->owners()) {
        if (entry.owner == incarnation && !this->isMoving(entry.range)) {
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
        this->releasing.push_back({ transfer.range, incarnation, transfer.to });
        ++this->changes;
    }
}

bool RangeSupervisor::isReleasingFrom(const UpstreamIncarnation &incarnation) const
{
    return std::any_of(this->releasing.begin(), this->releasing.end(),
                       [&](const ReleasingRange &release) { return release.from == incarnation; });
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

// Starts the release of all ranges of @p incarnation if it leaves, or of one range if it is
// overloaded.
void RangeSupervisor::planReleases(const UpstreamIncarnation &incarnation,
                                   const RangeContext &context)
{
    const SiteUpstream *upstream = context.state.find(incarnation);
    if (upstream == nullptr) {
        return;
    }
    if (upstream->phase != UpstreamPhase::Ready) {
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
    if (movedRecently || plannedRecently || this->isReleasingFrom(incarnation)) {
        return;
    }
    this->plannedAt = context.now;
    std::vector<PlacementCandidate> candidates
            = this->placementCandidates(context, this->timing.release);
    for (PlacementCandidate &candidate : candidates) {
        candidate.hasIncomingKeys = std::any_of(
                this->releasing.begin(), this->releasing.end(),
                [&](const ReleasingRange &release) { return release.to == candidate.incarnation; });
    }
    RangePlanner planner({ *this->table(context), this->load, candidates });
    const std::optional<RangeTransfer> transfer = planner.relieve(incarnation);
    if (!transfer || this->isMoving(transfer->range)) {
        return;
    }
    this->releasing.push_back({ transfer->range, incarnation, transfer->to });
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
        for (const KeyRange &part : this->retainedParts(entry)) {
            leases.push_back({ part, entry.fence, entry.handover });
        }
    }
    return leases;
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

// Returns the transfers of the ranges whose release is finished, and removes these from
// `releasing`.
std::vector<RangeTransfer> RangeSupervisor::finishReleases(const RangeContext &context)
{
    std::vector<RangeTransfer> transfers;
    std::vector<ReleasingRange> unfinished;
    std::vector<ReleasingRange> finished;
    for (const ReleasingRange &release : this->releasing) {
        const RangeOwner *entry = this->table(context)->find(release.range.from);
        if (entry == nullptr || entry->owner != release.from) {
            continue;
        }
        if (!context.rangeLeases.isReleased(this->service, *entry, release.range, context.now)) {
            unfinished.push_back(release);
            continue;
        }
        finished.push_back(release);
    }
    if (!finished.empty()) {
        // Requests in progress can delay a release, so by now another target may send its next
        // heartbeat sooner than the planned one.
        const std::vector<PlacementCandidate> candidates
                = this->placementCandidates(context, this->timing.commitDuration);
        RangePlanner planner({ *this->table(context), this->load, candidates });
        for (const ReleasingRange &release : finished) {
            if (const auto to = planner.targetOf(release.range, release.from, release.to)) {
                transfers.push_back(
                        { release.range, *to, this->handoverOf(release.from, release.range) });
            }
        }
    }
    this->changes += unfinished.size() == this->releasing.size() ? 0 : 1;
    this->releasing = std::move(unfinished);
    return transfers;
}

// Returns transfers of the ranges whose owner cannot serve them and can have no valid lease on them
// any more.
std::vector<RangeTransfer> RangeSupervisor::replaceUnavailableOwners(
        const RangeContext &context) const
{
    std::vector<KeyRange> ownerless;
    std::vector<RangeTransfer> transfers;
    for (const RangeOwner &entry : this->table(context)->owners()) {
        if (this->isUsable(entry.owner, context) || this->isMoving(entry.range)) {
            continue;
        }
        const bool hasEnded = context.state.find(entry.owner) == nullptr;
        if (!hasEnded
            && !context.rangeLeases.isReleased(this->service, entry, entry.range, context.now)) {
            continue;
        }
        // A restarted upstream is assigned its former keys at once.
        const auto successor = context.state.upstreams().find(entry.owner.id);
        if (hasEnded && successor != context.state.upstreams().end()
            && this->isUsable(successor->second.incarnation, context)) {
            transfers.push_back({ entry.range, successor->second.incarnation, {} });
            continue;
        }
        ownerless.push_back(entry.range);
    }
    if (!ownerless.empty()) {
        const std::vector<PlacementCandidate> candidates
                = this->placementCandidates(context, this->timing.commitDuration);
        RangePlanner planner({ *this->table(context), this->load, candidates });
        const std::vector<RangeTransfer> replaced = planner.replaceOwner(ownerless);
        transfers.insert(transfers.end(), replaced.begin(), replaced.end());
    }
    return transfers;
}

std::vector<RangeTransfer> RangeSupervisor::dueTransfers(const RangeContext &context)
{
    this->load.decay(context.now);
    if (!this->transfersInFlight.empty()) {
        return {};
    }
    std::vector<RangeTransfer> transfers;
    if (this->table(context) == nullptr) {
        transfers = this->firstTransfers(context);
    } else {
        this->findOverloaded(context);
        transfers = this->finishReleases(context);
        const std::vector<RangeTransfer> ownerless = this->replaceUnavailableOwners(context);
        // A released range for which no target was available is in `ownerless` at the next call.
        for (const RangeTransfer &transfer : ownerless) {
            const bool isTransferred
                    = std::any_of(transfers.begin(), transfers.end(),
                                  [&](const auto &t) { return t.range.overlaps(transfer.range); });
            if (!isTransferred) {
                transfers.push_back(transfer);
            }
        }
    }
    this->transfersInFlight = transfers;
    return transfers;
}

RangePhase RangeSupervisor::phaseOf(const RangeOwner &entry, const RangeContext &context) const
{
    const SiteUpstream *upstream = context.state.find(entry.owner);
    if (upstream == nullptr) {
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
        for (const ReleasingRange &release : this->releasing) {
            if (release.from == entry.owner && entry.range.contains(release.range)) {
                result.push_back({ release.range, release.to.id, RangePhase::Releasing });
            }
        }
        for (const RangeTransfer &transfer : this->transfersInFlight) {
            if (entry.range.contains(transfer.range)) {
                result.push_back({ transfer.range, transfer.to.id, RangePhase::Releasing });
            }
        }
        const RangePhase phase = this->phaseOf(entry, context);
        for (const KeyRange &part : this->retainedParts(entry)) {
            result.push_back({ part, entry.owner.id, phase });
        }
    }
    std::sort(result.begin(), result.end(),
              [](const RoutedRange &a, const RoutedRange &b) { return a.range < b.range; });
    return result;
}

} // namespace cassiaroad
