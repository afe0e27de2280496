#include "version/joinedranges.h"

#include <algorithm>

namespace cassiaroad {

void JoinedRanges::add(const KeyRange &range)
{
    if (!this->joined.empty() && this->joined.back().to + 1 == range.from) {
        this->joined.back().to = range.to;
        return;
    }
    this->joined.push_back(range);
}

void addJoined(std::vector<RangeTransfer> &transfers, const RangeTransfer &transfer)
{
    const bool isJoined = !transfers.empty() && transfers.back().to == transfer.to
                          && transfers.back().range.to + 1 == transfer.range.from
                          && transfers.back().handover.empty() && transfer.handover.empty();
    if (isJoined) {
        transfers.back().range.to = transfer.range.to;
        return;
    }
    transfers.push_back(transfer);
}

bool overlapsAny(const std::vector<RangeTransfer> &transfers, const KeyRange &range)
{
    return std::any_of(transfers.begin(), transfers.end(), [&](const RangeTransfer &transfer) {
        return transfer.range.overlaps(range);
    });
}

} // namespace cassiaroad
