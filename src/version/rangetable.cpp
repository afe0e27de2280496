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
        this->removeRange(transfer.range);
        this->ownerList.push_back(
                { transfer.range, transfer.to, ++this->fence, transfer.handover });
        std::sort(this->ownerList.begin(), this->ownerList.end(),
                  [](const RangeOwner &a, const RangeOwner &b) { return a.range < b.range; });
    }
}

// Removes the keys of @p range from the entries; an entry around it becomes two.
void RangeTable::removeRange(const KeyRange &range)
{
    std::vector<RangeOwner> retained;
    retained.reserve(this->ownerList.size() + 2);
    for (const RangeOwner &entry : this->ownerList) {
        if (!entry.range.overlaps(range)) {
            retained.push_back(entry);
            continue;
        }
        if (entry.range.from < range.from) {
            retained.push_back(entry);
            retained.back().range.to = range.from - 1;
        }
        if (entry.range.to > range.to) {
            retained.push_back(entry);
            retained.back().range.from = range.to + 1;
        }
    }
    this->ownerList = std::move(retained);
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
