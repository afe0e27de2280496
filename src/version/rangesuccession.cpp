#include "version/joinedranges.h"
#include "version/rangesupervisor.h"

// The part of RangeSupervisor that gives a restarted upstream the ranges it had before.

namespace cassiaroad {

// Marks the ranges of @p transfers as moving until these have ended.
void RangeSupervisor::recordProposed(const std::vector<RangeTransfer> &transfers,
                                     const RangeTable *ranges)
{
    for (const RangeTransfer &transfer : transfers) {
        const RangeOwner *entry = ranges == nullptr ? nullptr : ranges->find(transfer.range.from);
        this->moving.add({ transfer.range, entry == nullptr ? UpstreamIncarnation() : entry->owner,
                           transfer.to, true });
    }
}

std::vector<RangeTransfer> RangeSupervisor::succeed(const UpstreamIncarnation &ended,
                                                    const UpstreamIncarnation &successor,
                                                    const RangeContext &context)
{
    const RangeTable *ranges = this->table(context);
    if (ranges == nullptr || this->moving.hasProposed()) {
        return {};
    }
    std::vector<RangeTransfer> transfers;
    for (const RangeOwner &entry : ranges->owners()) {
        // Ranges that it had to release go to the upstreams that were chosen for them.
        if (entry.owner == ended && !this->moving.overlaps(entry.range)) {
            addJoined(transfers, { entry.range, successor, {} });
        }
    }
    this->recordProposed(transfers, ranges);
    return transfers;
}

} // namespace cassiaroad
