#include "version/rangetable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cassiaroad {

namespace {

bool isBefore(const RangeOwner &a, const RangeOwner &b)
{
    return a.range < b.range;
}

bool haveCommonKeys(const std::vector<RangeTransfer> &transfers)
{
    std::vector<KeyRange> ranges;
    ranges.reserve(transfers.size());
    for (const RangeTransfer &transfer : transfers) {
        ranges.push_back(transfer.range);
    }
    std::sort(ranges.begin(), ranges.end());
    const auto common = std::adjacent_find(
            ranges.begin(), ranges.end(),
            [](const KeyRange &a, const KeyRange &b) { return a.overlaps(b); });
    return common != ranges.end();
}

} // namespace

RangeTable::RangeTable(std::vector<RangeOwner> owners, FencingToken lastFence)
    : ownerList(std::move(owners))
    , fence(lastFence)
{ }

void RangeTable::transfer(const std::vector<RangeTransfer> &transfers)
{
    std::vector<RangeOwner> assigned;
    assigned.reserve(transfers.size());
    for (const RangeTransfer &transfer : transfers) {
        assigned.push_back({ transfer.range, transfer.to, ++this->fence, transfer.handover });
    }
    if (haveCommonKeys(transfers)) {
        for (const RangeOwner &entry : assigned) {
            this->assign({ entry });
        }
        return;
    }
    std::sort(assigned.begin(), assigned.end(), isBefore);
    this->assign(std::move(assigned));
}

// Replaces the owners of the ranges of @p assigned, in one pass over the table; an entry around
// such a range becomes two. Precondition: the ranges are ascending and do not overlap.
void RangeTable::assign(std::vector<RangeOwner> assigned)
{
    std::vector<RangeOwner> result;
    result.reserve(this->ownerList.size() + 2 * assigned.size());
    auto next = assigned.begin();
    for (RangeOwner &entry : this->ownerList) {
        while (next != assigned.end() && next->range.to < entry.range.from) {
            result.push_back(std::move(*next++));
        }
        KeyNumber from = entry.range.from; // first key of the entry that is not assigned yet
        for (; next != assigned.end() && next->range.overlaps(entry.range); ++next) {
            if (from < next->range.from) {
                result.push_back(entry);
                result.back().range = { from, next->range.from - 1 };
            }
            from = next->range.to + 1;
            if (next->range.to > entry.range.to) {
                break; // the next entry may overlap it as well
            }
            result.push_back(std::move(*next));
        }
        if (from <= entry.range.to) {
            entry.range.from = from;
            result.push_back(std::move(entry));
        }
    }
    std::move(next, assigned.end(), std::back_inserter(result));
    this->ownerList = std::move(result);
}

const RangeOwner *RangeTable::find(KeyNumber key) const
{
    const auto after
            = std::upper_bound(this->ownerList.begin(), this->ownerList.end(), key,
                               [](KeyNumber k, const RangeOwner &o) { return k < o.range.from; });
    if (after == this->ownerList.begin() || !std::prev(after)->range.contains(key)) {
        return nullptr;
    }
    return &*std::prev(after);
}

} // namespace cassiaroad
