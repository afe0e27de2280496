#pragma once

#include "version/keyrange.h"

#include <vector>

namespace cassiaroad {

/** A range and the upstream that owns it. */
struct RangeOwner
{
    KeyRange range;
    UpstreamIncarnation owner;
    FencingToken fence = 0;
    std::string handover; // state that the previous owner passes to this one; empty: none

    bool operator==(const RangeOwner &) const = default;
};

/** A change of the owner of a range. */
struct RangeTransfer
{
    KeyRange range;
    UpstreamIncarnation to;
    std::string handover;

    bool operator==(const RangeTransfer &) const = default;
};

/** Owners of the keys of one service; each key has at most one. Not thread-safe. */
class RangeTable
{
public:
    RangeTable() = default;
    /** Precondition: @p owners are ascending and do not overlap. */
    RangeTable(std::vector<RangeOwner> owners, FencingToken lastFence);

    /** Assigns each range to its new owner, each with the next fencing token. */
    void transfer(const std::vector<RangeTransfer> &transfers);

    /** Returns the owner of @p key, or null. Valid until the next transfer. */
    const RangeOwner *find(KeyNumber key) const;

    /** Owners in ascending order of their ranges. */
    const std::vector<RangeOwner> &owners() const { return this->ownerList; }
    /** Highest fencing token assigned so far. */
    FencingToken lastFence() const { return this->fence; }

    bool operator==(const RangeTable &) const = default;

private:
    void assign(std::vector<RangeOwner> assigned);

    std::vector<RangeOwner> ownerList;
    FencingToken fence = 0;
};

} // namespace cassiaroad
