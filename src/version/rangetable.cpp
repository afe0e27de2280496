#include "version/rangetable.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

RangeTable::RangeTable(std::vector<RangeOwner> owners, FencingToken lastFence)
    : ownerList(std::move(owners))
    , fence(lastFence)
{ }

void RangeTable::transfer(const std::vector<RangeTransfer> &transfers)
{
    for (const RangeTransfer &transfer : transfers) {
        this->cut(transfer.range);
        this->ownerList.push_back(
                { transfer.range, transfer.to, ++this->fence, transfer.handover });
        std::sort(this->ownerList.begin(), this->ownerList.end(),
                  [](const RangeOwner &a, const RangeOwner &b) { return a.range < b.range; });
    }
}

// Removes @p range from the entries that overlap it.
void RangeTable::cut(const KeyRange &range)
{
    std::vector<RangeOwner> kept;
    kept.reserve(this->ownerList.size() + 2);
    for (const RangeOwner &entry : this->ownerList) {
        if (!entry.range.overlaps(range)) {
            kept.push_back(entry);
            continue;
        }
        if (entry.range.from < range.from) {
            kept.push_back(entry);
            kept.back().range.to = range.from - 1;
        }
        if (entry.range.to > range.to) {
            kept.push_back(entry);
            kept.back().range.from = range.to + 1;
        }
    }
    this->ownerList = std::move(kept);
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
