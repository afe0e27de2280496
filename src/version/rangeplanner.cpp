#include "version/rangeplanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cassiaroad {

namespace {

constexpr double millisecondsPerSecond = 1000.0;
// A holder gives keys away when it is this much busier than the mean ...
constexpr double imbalanceFactor = 1.25;
// ... which must be more than the chance differences of few requests, in standard deviations ...
constexpr double significantDeviations = 2.0;
// ... and at least this busy: below it, queues are short whatever the balance.
constexpr double leastBusy = 0.4;
// A key with this part of its holder's requests moves to a faster holder, if that holder will be
// busy by at most this part of what the present one is.
constexpr double hotKeyPart = 0.5;
constexpr double hotKeyGain = 0.75;
// Less than this part of the wanted load is not worth a move.
constexpr double smallestUsefulPart = 0.15;
// Moving all keys costs as much as this part of the wanted load.
constexpr double costOfAllKeys = 4.0;
// The receiver must end up clearly less busy than the giver was, else keys swing back and forth.
constexpr double receiverFactor = 0.85;
// A receiver ends up at most this much busier than the mean: the load of the keys is an estimate.
constexpr double receiverOvershoot = 1.15;
// Share of a fair part that an upstream without keys gets first; it is slow after its start.
constexpr double firstPart = 0.5;
// A second without an owner costs about as much as this share of busy slots.
constexpr double busyPerSecondOfWait = 1.0;
// A range of a leaving holder is split so that no piece adds more than this to a receiver.
constexpr double largestPiece = 0.15;
constexpr std::size_t mostRangesOfHolder = 24; // an answer to a heartbeat has 4 KiB at most

} // namespace

double RangePlanner::HolderLoad::busy(double extraRate) const
{
    return (this->rate + extraRate) * this->holder.serviceMilliseconds
           / (millisecondsPerSecond * std::max(this->holder.slots, 1U));
}

// Busy slots, and the time that the keys would have no owner.
double RangePlanner::HolderLoad::cost(double extraRate) const
{
    const double wait = static_cast<double>(this->holder.nextReport.count) / millisecondsPerSecond;
    return this->busy(extraRate) + wait * busyPerSecondOfWait;
}

// Requests per second until the holder is busier than @p target.
double RangePlanner::HolderLoad::roomFor(double target) const
{
    return (target * receiverOvershoot - this->busy(0.0)) * millisecondsPerSecond
           * std::max(this->holder.slots, 1U) / this->holder.serviceMilliseconds;
}

RangePlanner::RangePlanner(const PlacementView &view)
    : view(view)
{
    for (const RangeHolder &holder : view.holders) {
        this->positions[holder.life] = this->loads.size();
        this->loads.push_back({ holder, 0.0, 0 });
    }
    for (const RangeOwner &entry : view.table.owners()) {
        if (HolderLoad *load = this->find(entry.owner)) {
            load->rate += view.load.rate(entry.range);
            load->keys += entry.range.size();
        }
    }
}

RangePlanner::HolderLoad *RangePlanner::find(const UpstreamIncarnation &life)
{
    const auto found = this->positions.find(life);
    return found == this->positions.end() ? nullptr : &this->loads[found->second];
}

// Returns an upstream that has no keys yet, or null.
const RangePlanner::HolderLoad *RangePlanner::newcomer() const
{
    const auto found = std::find_if(this->loads.begin(), this->loads.end(), [](const auto &load) {
        return load.holder.receives && !load.holder.isSettling && load.keys == 0;
    });
    return found == this->loads.end() ? nullptr : &*found;
}

bool RangePlanner::mayRelieve(const UpstreamIncarnation &from) const
{
    const auto found = this->positions.find(from);
    if (found == this->positions.end()) {
        return false;
    }
    const double busy = this->loads[found->second].busy(0.0);
    const double mean = this->meanBusy();
    return (busy >= mean && this->newcomer() != nullptr) || this->isCrowded(busy, mean);
}

// Whether a holder that is @p busy is to give keys away. A holder that is as busy as the mean was
// seen with some number of requests, and chance makes it differ by about the square root of that.
bool RangePlanner::isCrowded(double busy, double mean) const
{
    double rate = 0.0;
    std::size_t count = 0;
    for (const HolderLoad &load : this->loads) {
        rate += load.rate;
        count += load.holder.receives ? 1 : 0;
    }
    const double requests = rate * this->view.load.measuredSeconds()
                            / static_cast<double>(std::max<std::size_t>(count, 1));
    const double chance = significantDeviations / std::sqrt(std::max(requests, 1.0));
    return busy >= leastBusy && busy >= std::max(imbalanceFactor, 1.0 + chance) * mean;
}

std::vector<RangeTransfer> RangePlanner::firstAssignment(const std::vector<RangeHolder> &holders)
{
    std::vector<RangeTransfer> transfers;
    std::uint64_t slots = 0;
    for (const RangeHolder &holder : holders) {
        slots += holder.receives ? holder.slots : 0;
    }
    std::uint64_t before = 0;
    for (const RangeHolder &holder : holders) {
        if (!holder.receives || holder.slots == 0) {
            continue;
        }
        const std::uint64_t from = before * keyCount / slots;
        before += holder.slots;
        const std::uint64_t end = before * keyCount / slots;
        if (end > from) {
            transfers.push_back({ { static_cast<KeyNumber>(from), static_cast<KeyNumber>(end - 1) },
                                  holder.life,
                                  {} });
        }
    }
    return transfers;
}

RangePlanner::HolderLoad *RangePlanner::bestReceiver(double extraRate,
                                                     const UpstreamIncarnation &except)
{
    HolderLoad *best = nullptr;
    double bestCost = 0.0;
    for (HolderLoad &load : this->loads) {
        if (!load.holder.receives || load.holder.isSettling || load.holder.life == except) {
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

std::vector<RangeTransfer> RangePlanner::replaceHolder(const std::vector<KeyRange> &ranges)
{
    std::vector<RangeTransfer> transfers;
    for (KeyRange range : ranges) {
        while (true) {
            HolderLoad *receiver = this->bestReceiver(0.0, {});
            if (receiver == nullptr) {
                return transfers;
            }
            const double most = largestPiece * millisecondsPerSecond * receiver->holder.slots
                                / std::max(receiver->holder.serviceMilliseconds, 1.0);
            double rate = 0.0;
            KeyNumber end = range.from;
            while (true) {
                rate += this->view.load.rate(end);
                if (end == range.to || rate >= most) {
                    break;
                }
                ++end;
            }
            receiver->rate += rate;
            transfers.push_back({ { range.from, end }, receiver->holder.life, {} });
            if (end == range.to) {
                break;
            }
            range.from = end + 1;
        }
    }
    return transfers;
}

std::optional<UpstreamIncarnation> RangePlanner::receiverOf(const KeyRange &range,
                                                            const UpstreamIncarnation &from,
                                                            const UpstreamIncarnation &planned)
{
    const HolderLoad *first = this->find(planned);
    const bool isUsable = first != nullptr && first->holder.receives;
    if (isUsable && first->keys == 0) {
        return planned;
    }
    const double rate = this->view.load.rate(range);
    HolderLoad *best = this->bestReceiver(rate, from);
    if (best == nullptr) {
        return std::nullopt;
    }
    best->rate += rate;
    return best->holder.life;
}

double RangePlanner::meanBusy() const
{
    double sum = 0.0;
    std::size_t count = 0;
    for (const HolderLoad &load : this->loads) {
        if (load.holder.receives) {
            sum += load.busy(0.0);
            ++count;
        }
    }
    return count == 0 ? 0.0 : sum / static_cast<double>(count);
}

// Returns neighbouring keys of one range of @p owner that have about @p rate together and not more.
// A key that is busier by itself stays where it is, and its neighbours move.
std::optional<KeyRange> RangePlanner::rangeWithRate(const UpstreamIncarnation &owner,
                                                    double rate) const
{
    std::optional<KeyRange> best;
    double bestValue = smallestUsefulPart;
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

// Returns the transfer of a key that keeps most of @p giver busy to an upstream that serves it
// clearly faster, if there is one.
std::optional<RangeTransfer> RangePlanner::moveHotKey(const HolderLoad &giver)
{
    KeyNumber hottest = 0;
    double rate = 0.0;
    for (const RangeOwner &entry : this->view.table.owners()) {
        if (entry.owner != giver.holder.life) {
            continue;
        }
        for (KeyNumber key = entry.range.from; key <= entry.range.to; ++key) {
            if (this->view.load.rate(key) > rate) {
                rate = this->view.load.rate(key);
                hottest = key;
            }
        }
    }
    if (rate < giver.rate * hotKeyPart) {
        return std::nullopt;
    }
    const HolderLoad *receiver = this->bestReceiver(rate, giver.holder.life);
    if (receiver == nullptr || receiver->busy(rate) > giver.busy(0.0) * hotKeyGain) {
        return std::nullopt;
    }
    return RangeTransfer { { hottest, hottest }, receiver->holder.life, {} };
}

std::optional<RangeTransfer> RangePlanner::feedNewcomer(const HolderLoad &giver,
                                                        const HolderLoad &newcomer)
{
    const double fair = this->meanBusy() * millisecondsPerSecond * newcomer.holder.slots
                        / newcomer.holder.serviceMilliseconds;
    const double rate = std::min(giver.rate / 2.0, firstPart * fair);
    if (rate > 0.0) {
        if (const auto range = this->rangeWithRate(giver.holder.life, rate)) {
            return RangeTransfer { *range, newcomer.holder.life, {} };
        }
    }
    // Without load, half of the giver's first range makes the newcomer useful.
    const auto first = std::find_if(
            this->view.table.owners().begin(), this->view.table.owners().end(),
            [&](const RangeOwner &entry) { return entry.owner == giver.holder.life; });
    const KeyNumber middle = first->range.from + first->range.size() / 2;
    return RangeTransfer { { middle, first->range.to }, newcomer.holder.life, {} };
}

std::optional<RangeTransfer> RangePlanner::relieve(const UpstreamIncarnation &from)
{
    const HolderLoad *giver = this->find(from);
    if (giver == nullptr || giver->keys < 2) {
        return std::nullopt;
    }
    const auto ranges
            = std::count_if(this->view.table.owners().begin(), this->view.table.owners().end(),
                            [&](const RangeOwner &o) { return o.owner == from; });
    if (static_cast<std::size_t>(ranges) >= mostRangesOfHolder) {
        return std::nullopt;
    }
    const double mean = this->meanBusy();
    const double busy = giver->busy(0.0);
    const HolderLoad *empty = this->newcomer();
    if (empty != nullptr && busy >= mean) {
        return this->feedNewcomer(*giver, *empty);
    }
    if (!this->isCrowded(busy, mean)) {
        return std::nullopt;
    }
    if (auto hotKey = this->moveHotKey(*giver)) {
        return hotKey;
    }
    const HolderLoad *receiver = this->bestReceiver(giver->rate / 4.0, from);
    if (receiver == nullptr || receiver->busy(0.0) > busy * receiverFactor) {
        return std::nullopt;
    }
    const double perRequest
            = giver->holder.serviceMilliseconds / std::max(giver->holder.slots, 1U)
              + receiver->holder.serviceMilliseconds / std::max(receiver->holder.slots, 1U);
    const double wanted = (busy - receiver->busy(0.0)) * millisecondsPerSecond / perRequest;
    const double rate = std::min(wanted, receiver->roomFor(std::max(mean, leastBusy)));
    if (rate <= 0.0) {
        return std::nullopt;
    }
    const auto range = this->rangeWithRate(from, rate);
    if (!range || receiver->busy(this->view.load.rate(*range)) > busy * receiverFactor) {
        return std::nullopt;
    }
    return RangeTransfer { *range, receiver->holder.life, {} };
}

} // namespace cassiaroad
