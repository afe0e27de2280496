#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cassiaroad {

/** Number of a key of a keyed service. */
using KeyNumber = std::uint32_t;

inline constexpr KeyNumber lastKey = 65535;
inline constexpr std::uint32_t keyCount = lastKey + 1;

/** Keys from `from` to `to`, both included. */
struct KeyRange
{
    KeyNumber from = 0;
    KeyNumber to = 0;

    auto operator<=>(const KeyRange &) const = default;
    bool contains(KeyNumber key) const { return this->from <= key && key <= this->to; }
    bool contains(const KeyRange &other) const
    {
        return this->from <= other.from && other.to <= this->to;
    }
    bool overlaps(const KeyRange &other) const
    {
        return this->from <= other.to && other.from <= this->to;
    }
    std::uint32_t size() const { return this->to - this->from + 1; }
};

/** Fencing token of a range; each change of owner is assigned the next token of its service. */
using FencingToken = std::uint64_t;

/**
 * One start of an upstream. A later start may have the same id; it does not know the state of the
 * earlier one.
 */
struct UpstreamIncarnation
{
    std::string id;
    std::int64_t born = 0; // start time, Unix time in milliseconds

    // Most ids have a common prefix and most start times differ, so start times are compared first.
    bool operator==(const UpstreamIncarnation &other) const
    {
        return this->born == other.born && this->id == other.id;
    }
    std::strong_ordering operator<=>(const UpstreamIncarnation &other) const
    {
        const std::strong_ordering byStart = this->born <=> other.born;
        return byStart != 0 ? byStart : this->id <=> other.id;
    }
};

} // namespace cassiaroad
