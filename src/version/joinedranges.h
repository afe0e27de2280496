#pragma once

#include "version/rangetable.h"

#include <vector>

namespace cassiaroad {

// Neighbouring ranges that change their owner together become one range. This needs a new fencing
// token, so it is for ranges on which nobody has a lease. Pure.

/** Ranges of which neighbours are joined. */
class JoinedRanges
{
public:
    /** Adds a range. Precondition: it is after all ranges that were added before. */
    void add(const KeyRange &range);

    /** The joined ranges, ascending. */
    const std::vector<KeyRange> &all() const { return this->joined; }

private:
    std::vector<KeyRange> joined;
};

/**
 * Adds @p transfer to @p transfers; it becomes a part of the last one if that is of the keys right
 * before, to the same owner, and neither has a handover.
 */
void addJoined(std::vector<RangeTransfer> &transfers, const RangeTransfer &transfer);

/** Whether one of @p transfers has a key of @p range. */
bool overlapsAny(const std::vector<RangeTransfer> &transfers, const KeyRange &range);

} // namespace cassiaroad
