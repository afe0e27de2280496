#pragma once

#include "version/keyrange.h"

#include <vector>

namespace cassiaroad {

/** Owner of a range. */
struct RangeOwner
{
    KeyRange range;
    UpstreamIncarnation owner;
    FencingToken fence = 0;
    std::string handover; // of the previous owner; empty: none

    bool operator==(const RangeOwner &) const = default;
};

/** A range that changes its owner. */
struct RangeTransfer
{
    KeyRange range;
    UpstreamIncarnation to;
    std::string handover;

    bool operator==(const RangeTransfer &) const = default;
};

/** Owners of the keys of one service, in the order of the keys. Not thread-safe. */
class RangeTable
{
public:
    RangeTable() = default;
    /** Precondition: @p owners are ascending and do not overlap. */
    RangeTable(std::vector<RangeOwner> owners, FencingToken lastFence);

    /** Gives each range to its new owner with a fencing token of its own. */
    void transfer(const std::vector<RangeTransfer> &transfers);

    /** Returns the owner of @p key, or null. Valid until the next transfer. */
    const RangeOwner *find(KeyNumber key) const;

    const std::vector<RangeOwner> &owners() const { return this->ownerList; }
    FencingToken lastFence() const { return this->fence; }

    bool operator==(const RangeTable &) const = default;

private:
    void cut(const KeyRange &range);

    std::vector<RangeOwner> ownerList;
    FencingToken fence = 0;
};

} // namespace cassiaroad
