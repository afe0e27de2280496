#include "version/movingranges.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cassiaroad {

void MovingRanges::add(MovingRange moving)
{
    const KeyNumber firstKey = moving.range.from;
    this->byFirstKey.insert_or_assign(firstKey, std::move(moving));
}

void MovingRanges::removeProposed()
{
    std::erase_if(this->byFirstKey,
                  [](const auto &entry) { return entry.second.transferProposed; });
}

// Returns the position of the first range that overlaps @p range or begins after it.
std::map<KeyNumber, MovingRange>::const_iterator MovingRanges::firstOverlapping(
        const KeyRange &range) const
{
    const auto after = this->byFirstKey.upper_bound(range.from);
    if (after != this->byFirstKey.begin() && std::prev(after)->second.range.overlaps(range)) {
        return std::prev(after);
    }
    return after;
}

bool MovingRanges::overlaps(const KeyRange &range) const
{
    const auto first = this->firstOverlapping(range);
    return first != this->byFirstKey.end() && first->second.range.overlaps(range);
}

bool MovingRanges::isReleasingFrom(const UpstreamIncarnation &incarnation) const
{
    return std::any_of(this->byFirstKey.begin(), this->byFirstKey.end(), [&](const auto &entry) {
        return !entry.second.transferProposed && entry.second.from == incarnation;
    });
}

bool MovingRanges::hasProposed() const
{
    return std::any_of(this->byFirstKey.begin(), this->byFirstKey.end(),
                       [](const auto &entry) { return entry.second.transferProposed; });
}

std::vector<MovingRange> MovingRanges::within(const KeyRange &range) const
{
    std::vector<MovingRange> result;
    for (auto entry = this->firstOverlapping(range);
         entry != this->byFirstKey.end() && entry->second.range.overlaps(range); ++entry) {
        result.push_back(entry->second);
    }
    return result;
}

std::vector<KeyRange> MovingRanges::retainedParts(const KeyRange &range) const
{
    std::vector<KeyRange> parts;
    KeyNumber next = range.from;
    for (auto entry = this->firstOverlapping(range);
         entry != this->byFirstKey.end() && entry->second.range.overlaps(range); ++entry) {
        const KeyRange &moving = entry->second.range;
        if (next < moving.from) {
            parts.push_back({ next, moving.from - 1 });
        }
        next = moving.to + 1;
    }
    if (next <= range.to) {
        parts.push_back({ next, range.to });
    }
    return parts;
}

} // namespace cassiaroad
