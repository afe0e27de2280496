#include "version/rangeplanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiaroad {

namespace {

constexpr double millisecondsPerSecond = 1000.0;
// An upstream is overloaded if its utilization is at least this multiple of the mean ...
constexpr double imbalanceFactor = 1.25;
// ... and above the mean by more than chance explains with few requests, in standard deviations ...
constexpr double significantDeviations = 2.0;
// ... and at least this: below it, queues are short however unevenly the load is spread.
constexpr double minUtilization = 0.4;
// A key with at least this share of its owner's requests may move alone to a faster upstream ...
constexpr double hotKeyShare = 0.5;
// ... whose utilization with the key would be at most this fraction of the owner's present one.
constexpr double maxHotKeyTargetRatio = 0.75;
// A range with less than this share of the wanted load does not outweigh the cost of a move.
constexpr double minTransferShare = 0.15;
// Cost of moving all keys, as a multiple of the wanted load; fewer keys cost proportionally less.
constexpr double costOfAllKeys = 4.0;
// The target must end up with at most this fraction of the utilization that the source had, else
// keys move back and forth.
constexpr double maxTargetRatio = 0.85;
// A target may end up at this multiple of the mean utilization, since the load of keys is only
// an estimate.
constexpr double maxTargetOvershoot = 1.15;
// Share of its fair load that an upstream without keys is assigned first, since it is still warming
// up.
constexpr double firstTransferShare = 0.5;
// A second in which keys have no owner costs about as much as this utilization.
constexpr double utilizationPerSecondOfWait = 1.0;
// A range whose owner leaves is split: a part ends at the key with which it adds this much to the
// utilization of its target.
constexpr double maxPartUtilization = 0.15;

} // namespace

double RangePlanner::CandidateLoad::utilization(double extraRate) const
{
    return (this->rate + extraRate) * this->candidate.serviceMilliseconds
           / (millisecondsPerSecond * std::max(this->candidate.slots, 1U));
}

// Utilization with the extra load, plus the cost of the time in which the keys have no owner.
double RangePlanner::CandidateLoad::cost(double extraRate) const
{
    const double wait = static_cast<double>(this->candidate.timeToNextHeartbeat.count)
                        / millisecondsPerSecond;
    return this->utilization(extraRate) + wait * utilizationPerSecondOfWait;
}

// Returns the additional requests per second at which the utilization reaches @p maxUtilization
// times the overshoot.
double RangePlanner::CandidateLoad::spareRate(double maxUtilization) const
{
    return (maxUtilization * maxTargetOvershoot - this->utilization(0.0)) * millisecondsPerSecond
           * std::max(this->candidate.slots, 1U) / this->candidate.serviceMilliseconds;
}

RangePlanner::RangePlanner(const PlacementView &view)
    : view(view)
{
    for (const PlacementCandidate &candidate : view.placementCandidates) {
        this->positions[candidate.incarnation] = this->loads.size();
        this->loads.push_back({ candidate, 0.0, 0, 0 });
    }
    for (const RangeOwner &entry : view.table.owners()) {
        if (CandidateLoad *load = this->find(entry.owner)) {
            load->rate += view.load.rate(entry.range);
            load->keys += entry.range.size();
            ++load->ranges;
        }
    }
}

RangePlanner::CandidateLoad *RangePlanner::find(const UpstreamIncarnation &incarnation)
{
    const auto found = this->positions.find(incarnation);
    return found == this->positions.end() ? nullptr : &this->loads[found->second];
}

// Returns an upstream that has no keys and is not being assigned any, or null.
const RangePlanner::CandidateLoad *RangePlanner::newUpstream() const
{
    const auto found = std::find_if(this->loads.begin(), this->loads.end(), [](const auto &load) {
        return load.candidate.canReceiveKeys && !load.candidate.hasIncomingKeys && load.keys == 0;
    });
    return found == this->loads.end() ? nullptr : &*found;
}

bool RangePlanner::canRelieve(const UpstreamIncarnation &from) const
{
    const auto found = this->positions.find(from);
    if (found == this->positions.end()) {
        return false;
    }
    const double utilization = this->loads[found->second].utilization(0.0);
    const double mean = this->meanUtilization();
    return (utilization >= mean && this->newUpstream() != nullptr)
           || this->isOverloaded(utilization, mean);
}

// Whether an upstream with @p utilization is to release keys, given the mean utilization. An
// upstream at the mean was measured with a number of requests that varies by chance by about its
// square root.
bool RangePlanner::isOverloaded(double utilization, double mean) const
{
    double rate = 0.0;
    std::size_t count = 0;
    for (const CandidateLoad &load : this->loads) {
        rate += load.rate;
        count += load.candidate.canReceiveKeys ? 1 : 0;
    }
    const double requests = rate * this->view.load.measuredSeconds()
                            / static_cast<double>(std::max<std::size_t>(count, 1));
    const double chance = significantDeviations / std::sqrt(std::max(requests, 1.0));
    return utilization >= minUtilization
           && utilization >= std::max(imbalanceFactor, 1.0 + chance) * mean;
}

std::vector<RangeTransfer> RangePlanner::firstAssignment(
        const std::vector<PlacementCandidate> &placementCandidates)
{
    std::vector<RangeTransfer> transfers;
    std::uint64_t slots = 0;
    for (const PlacementCandidate &candidate : placementCandidates) {
        slots += candidate.canReceiveKeys ? candidate.slots : 0;
    }
    std::uint64_t before = 0;
    for (const PlacementCandidate &candidate : placementCandidates) {
        if (!candidate.canReceiveKeys || candidate.slots == 0) {
            continue;
        }
        const std::uint64_t from = before * keyCount / slots;
        before += candidate.slots;
        const std::uint64_t end = before * keyCount / slots;
        if (end > from) {
            transfers.push_back({ { static_cast<KeyNumber>(from), static_cast<KeyNumber>(end - 1) },
                                  candidate.incarnation,
                                  {} });
        }
    }
    return transfers;
}

RangePlanner::CandidateLoad *RangePlanner::bestTarget(double extraRate,
                                                      const UpstreamIncarnation &excluded)
{
    CandidateLoad *best = nullptr;
    double bestCost = 0.0;
    for (CandidateLoad &load : this->loads) {
        if (!load.candidate.canReceiveKeys || load.candidate.hasIncomingKeys
            || load.candidate.incarnation == excluded || load.ranges >= maxRangesPerOwner) {
            continue;
        }
        const double cost = load.cost(extraRate);
        if (best == nullptr || cost < bestCost) {
            best = &load;
            bestCost = cost;
        }
    }
    return best;
}

// Returns the best target for keys that need an owner, also if no upstream has room for one more
// range.
RangePlanner::CandidateLoad *RangePlanner::targetInNeed(double extraRate,
                                                        const UpstreamIncarnation &excluded)
{
    CandidateLoad *best = this->bestTarget(extraRate, excluded);
    if (best != nullptr) {
        return best;
    }
    for (CandidateLoad &load : this->loads) {
        const bool isUsable = load.candidate.canReceiveKeys && !load.candidate.hasIncomingKeys
                              && load.candidate.incarnation != excluded;
        if (isUsable && (best == nullptr || load.ranges < best->ranges)) {
            best = &load;
        }
    }
    return best;
}

// Returns the last key of the part of @p range that @p target is to get.
KeyNumber RangePlanner::endOfPart(const KeyRange &range, const CandidateLoad &target) const
{
    if (target.ranges >= maxRangesPerOwner) {
        return range.to; // a split would add one more range
    }
    const double maxRate = maxPartUtilization * millisecondsPerSecond * target.candidate.slots
                           / std::max(target.candidate.serviceMilliseconds, 1.0);
    double rate = 0.0;
    for (KeyNumber end = range.from; end < range.to; ++end) {
        rate += this->view.load.rate(end);
        if (rate >= maxRate) {
            return end;
        }
    }
    return range.to;
}

std::vector<RangeTransfer> RangePlanner::replaceOwner(const std::vector<KeyRange> &ranges)
{
    std::vector<RangeTransfer> transfers;
    for (KeyRange range : ranges) {
        while (true) {
            CandidateLoad *target = this->targetInNeed(0.0, {});
            if (target == nullptr) {
                return transfers;
            }
            const KeyNumber end = this->endOfPart(range, *target);
            target->rate += this->view.load.rate({ range.from, end });
            ++target->ranges;
            transfers.push_back({ { range.from, end }, target->candidate.incarnation, {} });
            if (end == range.to) {
                break;
            }
            range.from = end + 1;
        }
    }
    return transfers;
}

std::optional<UpstreamIncarnation> RangePlanner::targetOf(const KeyRange &range,
                                                          const UpstreamIncarnation &from,
                                                          const UpstreamIncarnation &planned)
{
    const CandidateLoad *first = this->find(planned);
    const bool isUsable = first != nullptr && first->candidate.canReceiveKeys;
    if (isUsable && first->keys == 0) {
        return planned;
    }
    const double rate = this->view.load.rate(range);
    CandidateLoad *best = this->targetInNeed(rate, from);
    if (best == nullptr) {
        return std::nullopt;
    }
    best->rate += rate;
    ++best->ranges;
    return best->candidate.incarnation;
}

double RangePlanner::meanUtilization() const
{
    double sum = 0.0;
    std::size_t count = 0;
    for (const CandidateLoad &load : this->loads) {
        if (load.candidate.canReceiveKeys) {
            sum += load.utilization(0.0);
            ++count;
        }
    }
    return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

// Returns neighbouring keys of one range of @p owner whose requests per second add up to about
// @p rate and not more. A key that alone exceeds @p rate stays, and its neighbours move.
std::optional<KeyRange> RangePlanner::rangeWithRate(const UpstreamIncarnation &owner,
                                                    double rate) const
{
    std::optional<KeyRange> best;
    double bestValue = minTransferShare;
    for (const RangeOwner &entry : this->view.table.owners()) {
        if (entry.owner != owner) {
            continue;
        }
        double sum = 0.0;
        KeyNumber from = entry.range.from;
        for (KeyNumber to = entry.range.from; to <= entry.range.to; ++to) {
            sum += this->view.load.rate(to);
            while (from <= to && sum > rate) {
                sum -= this->view.load.rate(from);
                ++from;
            }
            if (from > to) {
                sum = 0.0;
                continue;
            }
            const double value
                    = sum / rate - costOfAllKeys * static_cast<double>(to - from + 1) / keyCount;
            if (value > bestValue) {
                best = KeyRange { from, to };
                bestValue = value;
            }
        }
    }
    return best;
}

// Returns the transfer of the hottest key of @p source, if the key causes most of its load and
// another upstream would serve it clearly faster.
std::optional<RangeTransfer> RangePlanner::moveHotKey(const CandidateLoad &source)
{
    KeyNumber hottest = 0;
    double rate = 0.0;
    for (const RangeOwner &entry : this->view.table.owners()) {
        if (entry.owner != source.candidate.incarnation) {
            continue;
        }
        for (KeyNumber key = entry.range.from; key <= entry.range.to; ++key) {
            if (this->view.load.rate(key) > rate) {
                rate = this->view.load.rate(key);
                hottest = key;
            }
        }
    }
    if (rate < source.rate * hotKeyShare) {
        return std::nullopt;
    }
    const CandidateLoad *target = this->bestTarget(rate, source.candidate.incarnation);
    if (target == nullptr
        || target->utilization(rate) > source.utilization(0.0) * maxHotKeyTargetRatio) {
        return std::nullopt;
    }
    return RangeTransfer { { hottest, hottest }, target->candidate.incarnation, {} };
}

std::optional<RangeTransfer> RangePlanner::assignToNewUpstream(const CandidateLoad &source,
                                                               const CandidateLoad &newUpstream)
{
    const double fairRate = this->meanUtilization() * millisecondsPerSecond
                            * newUpstream.candidate.slots
                            / newUpstream.candidate.serviceMilliseconds;
    const double rate = std::min(source.rate / 2.0, firstTransferShare * fairRate);
    if (rate > 0.0) {
        if (const auto range = this->rangeWithRate(source.candidate.incarnation, rate)) {
            return RangeTransfer { *range, newUpstream.candidate.incarnation, {} };
        }
    }
    // Without load, the new upstream is assigned half of the first range of the source.
    const auto first = std::find_if(
            this->view.table.owners().begin(), this->view.table.owners().end(),
            [&](const RangeOwner &entry) { return entry.owner == source.candidate.incarnation; });
    const KeyNumber middle = first->range.from + first->range.size() / 2;
    return RangeTransfer { { middle, first->range.to }, newUpstream.candidate.incarnation, {} };
}

// Whether the owner of @p range has one more range when it has released it.
bool RangePlanner::addsRange(const KeyRange &range) const
{
    const KeyRange &whole = this->view.table.find(range.from)->range;
    return whole.from < range.from && range.to < whole.to;
}

std::optional<RangeTransfer> RangePlanner::relieve(const UpstreamIncarnation &from)
{
    const CandidateLoad *source = this->find(from);
    if (source == nullptr || source->keys < 2) {
        return std::nullopt;
    }
    std::optional<RangeTransfer> transfer = this->planRelief(*source);
    if (transfer && source->ranges >= maxRangesPerOwner && this->addsRange(transfer->range)) {
        return std::nullopt;
    }
    return transfer;
}

std::optional<RangeTransfer> RangePlanner::planRelief(const CandidateLoad &source)
{
    const double mean = this->meanUtilization();
    const double utilization = source.utilization(0.0);
    const CandidateLoad *upstreamWithoutKeys = this->newUpstream();
    if (upstreamWithoutKeys != nullptr && utilization >= mean) {
        return this->assignToNewUpstream(source, *upstreamWithoutKeys);
    }
    if (!this->isOverloaded(utilization, mean)) {
        return std::nullopt;
    }
    if (auto hotKey = this->moveHotKey(source)) {
        return hotKey;
    }
    const CandidateLoad *target = this->bestTarget(source.rate / 4.0, source.candidate.incarnation);
    if (target == nullptr || target->utilization(0.0) > utilization * maxTargetRatio) {
        return std::nullopt;
    }
    const double perRequest
            = source.candidate.serviceMilliseconds / std::max(source.candidate.slots, 1U)
              + target->candidate.serviceMilliseconds / std::max(target->candidate.slots, 1U);
    const double wantedRate
            = (utilization - target->utilization(0.0)) * millisecondsPerSecond / perRequest;
    const double rate = std::min(wantedRate, target->spareRate(std::max(mean, minUtilization)));
    if (rate <= 0.0) {
        return std::nullopt;
    }
    const auto range = this->rangeWithRate(source.candidate.incarnation, rate);
    if (!range
        || target->utilization(this->view.load.rate(*range)) > utilization * maxTargetRatio) {
        return std::nullopt;
    }
    return RangeTransfer { *range, target->candidate.incarnation, {} };
}

} // namespace cassiaroad
