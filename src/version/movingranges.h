#pragma once

#include "version/rangetable.h"

#include <map>
#include <vector>

namespace cassiaroad {

/** A range that changes its owner. */
struct MovingRange
{
    KeyRange range;
    UpstreamIncarnation from;
    UpstreamIncarnation to; // as planned; the transfer that is proposed may have another target
    bool transferProposed = false; // else the owner still has to release the range

    bool operator==(const MovingRange &) const = default;
};

/**
 * Ranges of one service that change their owners. They do not overlap, so a lookup takes
 * logarithmic time: when many upstreams leave at once, hundreds of ranges move. Pure; not
 * thread-safe.
 */
class MovingRanges
{
public:
    /** Adds a range. Precondition: overlaps() is false for it. */
    void add(MovingRange moving);

    /** Removes the range that begins with the first key of @p range, if there is one. */
    void remove(const KeyRange &range) { this->byFirstKey.erase(range.from); }

    void clear() { this->byFirstKey.clear(); }

    /** Removes the ranges whose transfer is proposed. */
    void removeProposed();

    /** Whether a part of @p range moves. */
    bool overlaps(const KeyRange &range) const;

    /** Whether @p incarnation has to release a range. */
    bool isReleasingFrom(const UpstreamIncarnation &incarnation) const;

    /** Whether the transfer of a range is proposed. */
    bool hasProposed() const;

    /** Returns the ranges that overlap @p range, in ascending order. */
    std::vector<MovingRange> within(const KeyRange &range) const;

    /** Returns the parts of @p range that do not move, in ascending order. */
    std::vector<KeyRange> retainedParts(const KeyRange &range) const;

    /** All ranges by their first keys. */
    const std::map<KeyNumber, MovingRange> &all() const { return this->byFirstKey; }

private:
    std::map<KeyNumber, MovingRange>::const_iterator firstOverlapping(const KeyRange &range) const;

    std::map<KeyNumber, MovingRange> byFirstKey;
};

} // namespace cassiaroad
