#include "version/rangesupervisor.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

// Handovers are used within a second; older ones belong to moves that were given up.
constexpr std::size_t mostHandovers = 256;
constexpr Milliseconds crowdedInterval { 200 };
// Looking for a range adds up the load of all keys; with hundreds of upstreams, most heartbeats
// would do so while newcomers wait for keys.
constexpr Milliseconds shortestPlanInterval { 25 };

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
    this->lastMove.clear();
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

// Whether @p life may get or keep ranges.
bool RangeSupervisor::isUsable(const UpstreamIncarnation &life, const RangeContext &context) const
{
    const SiteUpstream *upstream = context.state.find(life);
    return upstream != nullptr && upstream->service == this->service
           && upstream->phase == UpstreamPhase::Ready
           && !context.monitor.isSilent(life, context.now);
}

std::vector<RangeHolder> RangeSupervisor::holders(const RangeContext &context,
                                                  Milliseconds earliest) const
{
    std::vector<RangeHolder> result;
    for (const auto &[id, upstream] : context.state.upstreams()) {
        if (upstream.service != this->service) {
            continue;
        }
        result.push_back({ upstream.life, upstream.slots, context.monitor.serviceMilliseconds(id),
                           context.monitor.nextReport(upstream.life, earliest, context.now),
                           this->isUsable(upstream.life, context) });
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

// Returns the parts of @p entry that its owner was not told to release and that are not being
// transferred.
std::vector<KeyRange> RangeSupervisor::keptParts(const RangeOwner &entry) const
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

void RangeSupervisor::releaseAll(const UpstreamIncarnation &life, const RangeContext &context)
{
    std::vector<KeyRange> ranges;
    for (const RangeOwner &entry : this->table(context)->owners()) {
        if (entry.owner == life && !this->isMoving(entry.range)) {
            ranges.push_back(entry.range);
        }
    }
    if (ranges.empty()) {
        return;
    }
    const std::vector<RangeHolder> candidates = this->holders(context, this->timing.release);
    RangePlanner planner({ *this->table(context), this->load, candidates });
    for (const RangeTransfer &transfer : planner.replaceHolder(ranges)) {
        this->releasing.push_back({ transfer.range, life, transfer.to });
        ++this->changes;
    }
}

bool RangeSupervisor::isReleasingFrom(const UpstreamIncarnation &life) const
{
    return std::any_of(this->releasing.begin(), this->releasing.end(),
                       [&](const ReleasingRange &release) { return release.from == life; });
}

// The load of all keys is added up here, a few times a second, and not at each heartbeat.
void RangeSupervisor::findCrowded(const RangeContext &context)
{
    if (context.now - this->crowdedAt < crowdedInterval) {
        return;
    }
    this->crowdedAt = context.now;
    this->crowded.clear();
    const std::vector<RangeHolder> candidates = this->holders(context, this->timing.release);
    const RangePlanner planner({ *this->table(context), this->load, candidates });
    for (const RangeHolder &candidate : candidates) {
        if (planner.mayRelieve(candidate.life)) {
            this->crowded.insert(candidate.life);
        }
    }
}

void RangeSupervisor::planReleases(const UpstreamIncarnation &life, const RangeContext &context)
{
    const SiteUpstream *upstream = context.state.find(life);
    if (upstream == nullptr) {
        return;
    }
    if (upstream->phase != UpstreamPhase::Ready) {
        this->releaseAll(life, context);
        return;
    }
    if (!this->crowded.contains(life)) {
        return;
    }
    const auto moved = this->lastMove.find(life);
    const bool isResting = moved != this->lastMove.end()
                           && context.now - moved->second < this->timing.betweenMoves;
    const bool isTooSoon = context.now - this->plannedAt < shortestPlanInterval;
    if (isResting || isTooSoon || this->isReleasingFrom(life)) {
        return;
    }
    this->plannedAt = context.now;
    std::vector<RangeHolder> candidates = this->holders(context, this->timing.release);
    for (RangeHolder &candidate : candidates) {
        candidate.isSettling = std::any_of(
                this->releasing.begin(), this->releasing.end(),
                [&](const ReleasingRange &release) { return release.to == candidate.life; });
    }
    RangePlanner planner({ *this->table(context), this->load, candidates });
    const std::optional<RangeTransfer> transfer = planner.relieve(life);
    if (!transfer || this->isMoving(transfer->range)) {
        return;
    }
    this->releasing.push_back({ transfer->range, life, transfer->to });
    ++this->changes;
    this->lastMove[life] = context.now;
}

std::vector<RangeLease> RangeSupervisor::answer(const UpstreamIncarnation &life,
                                                const RangeContext &context)
{
    const RangeTable *ranges = this->table(context);
    if (ranges == nullptr) {
        return {};
    }
    this->planReleases(life, context);
    std::vector<RangeLease> leases;
    for (const RangeOwner &entry : ranges->owners()) {
        if (entry.owner != life) {
            continue;
        }
        for (const KeyRange &part : this->keptParts(entry)) {
            leases.push_back({ part, entry.fence, entry.handover });
        }
    }
    return leases;
}

void RangeSupervisor::noteReleases(const UpstreamIncarnation &life,
                                   const std::vector<RangeRelease> &releases)
{
    for (const RangeRelease &release : releases) {
        this->handovers.push_back({ life, release });
    }
    if (this->handovers.size() > mostHandovers) {
        this->handovers.erase(this->handovers.begin(),
                              this->handovers.end() - static_cast<std::ptrdiff_t>(mostHandovers));
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

std::vector<RangeTransfer> RangeSupervisor::firstTransfers(const RangeContext &context) const
{
    const std::vector<RangeHolder> candidates = this->holders(context, this->timing.commit);
    TimePoint first = context.now;
    bool any = false;
    for (const RangeHolder &holder : candidates) {
        if (holder.receives) {
            any = true;
            first = std::min(first, context.monitor.firstSeen(holder.life));
        }
    }
    // Upstreams that reached no leader at first come back after one or two intervals.
    if (!any || context.now - first < this->timing.heartbeat * 5 / 2) {
        return {};
    }
    return RangePlanner::firstAssignment(candidates);
}

std::vector<RangeTransfer> RangeSupervisor::finishedReleases(const RangeContext &context)
{
    std::vector<RangeTransfer> transfers;
    std::vector<ReleasingRange> open;
    std::vector<ReleasingRange> finished;
    for (const ReleasingRange &release : this->releasing) {
        const RangeOwner *entry = this->table(context)->find(release.range.from);
        if (entry == nullptr || entry->owner != release.from) {
            continue;
        }
        if (!context.ledger.isReleased(this->service, *entry, release.range, context.now)) {
            open.push_back(release);
            continue;
        }
        finished.push_back(release);
    }
    if (!finished.empty()) {
        // Work in progress delays a release, so another receiver may report sooner by now.
        const std::vector<RangeHolder> candidates = this->holders(context, this->timing.commit);
        RangePlanner planner({ *this->table(context), this->load, candidates });
        for (const ReleasingRange &release : finished) {
            if (const auto to = planner.receiverOf(release.range, release.from, release.to)) {
                transfers.push_back(
                        { release.range, *to, this->handoverOf(release.from, release.range) });
            }
        }
    }
    this->changes += open.size() == this->releasing.size() ? 0 : 1;
    this->releasing = std::move(open);
    return transfers;
}

// Ranges whose owner is gone and cannot hold them any more.
std::vector<RangeTransfer> RangeSupervisor::lostRanges(const RangeContext &context) const
{
    std::vector<KeyRange> lost;
    std::vector<RangeTransfer> transfers;
    for (const RangeOwner &entry : this->table(context)->owners()) {
        if (this->isUsable(entry.owner, context) || this->isMoving(entry.range)) {
            continue;
        }
        const bool hasEnded = context.state.find(entry.owner) == nullptr;
        if (!hasEnded
            && !context.ledger.isReleased(this->service, entry, entry.range, context.now)) {
            continue;
        }
        // A restarted upstream takes its keys back at once.
        const auto successor = context.state.upstreams().find(entry.owner.id);
        if (hasEnded && successor != context.state.upstreams().end()
            && this->isUsable(successor->second.life, context)) {
            transfers.push_back({ entry.range, successor->second.life, {} });
            continue;
        }
        lost.push_back(entry.range);
    }
    if (!lost.empty()) {
        const std::vector<RangeHolder> candidates = this->holders(context, this->timing.commit);
        RangePlanner planner({ *this->table(context), this->load, candidates });
        const std::vector<RangeTransfer> replaced = planner.replaceHolder(lost);
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
        this->findCrowded(context);
        transfers = this->finishedReleases(context);
        const std::vector<RangeTransfer> lost = this->lostRanges(context);
        // A released range whose receiver is gone appears among the lost ones at the next call.
        for (const RangeTransfer &transfer : lost) {
            const bool known = std::any_of(transfers.begin(), transfers.end(), [&](const auto &t) {
                return t.range.overlaps(transfer.range);
            });
            if (!known) {
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
        const bool over = since != this->leavingSince.end()
                          && context.now - since->second > this->timing.leavingGracePeriod;
        return over ? RangePhase::Pending : RangePhase::Owned;
    }
    if (context.ledger.isGranted(entry)) {
        return RangePhase::Owned;
    }
    // An entry of an earlier term was probably granted by the leader of that time.
    return context.ledger.isFromThisTerm(this->service, entry) ? RangePhase::Pending
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
        for (const KeyRange &part : this->keptParts(entry)) {
            result.push_back({ part, entry.owner.id, phase });
        }
    }
    std::sort(result.begin(), result.end(),
              [](const RoutedRange &a, const RoutedRange &b) { return a.range < b.range; });
    return result;
}

} // namespace cassiaroad
