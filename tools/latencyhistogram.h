#pragma once

#include <array>
#include <bit>
#include <cstdint>

namespace cassiaroad {

/** Histogram of durations in microseconds, with an error below 2%. Not thread-safe. */
class LatencyHistogram
{
public:
    /** Counts a duration; a negative one counts as 0. */
    void add(std::int64_t microseconds)
    {
        ++this->buckets[bucketOf(
                static_cast<std::uint64_t>(std::max<std::int64_t>(microseconds, 0)))];
        ++this->total;
    }

    std::uint64_t count() const { return this->total; }

    /**
     * Returns the quantile @p share (0 to 1) in microseconds, as the upper edge of its bucket; 0 if
     * the histogram is empty.
     */
    std::uint64_t quantile(double share) const
    {
        const double wanted = share * static_cast<double>(this->total);
        std::uint64_t seen = 0;
        for (std::size_t bucket = 0; bucket < this->buckets.size(); ++bucket) {
            seen += this->buckets[bucket];
            if (seen > 0 && static_cast<double>(seen) >= wanted) {
                return upperEdge(bucket);
            }
        }
        return 0;
    }

private:
    // Each power of two is divided into 64 buckets.
    static constexpr unsigned int subBits = 6;
    static constexpr std::size_t subCount = 1UL << subBits;

    static std::size_t bucketOf(std::uint64_t value)
    {
        if (value < subCount) {
            return value;
        }
        const auto shift = static_cast<unsigned int>(std::bit_width(value)) - subBits - 1;
        return (static_cast<std::size_t>(shift) << subBits) + (value >> shift);
    }

    static std::uint64_t upperEdge(std::size_t bucket)
    {
        if (bucket < 2 * subCount) {
            return bucket;
        }
        const std::size_t shift = (bucket >> subBits) - 1;
        const std::uint64_t base = (bucket & (subCount - 1)) + subCount;
        return ((base + 1) << shift) - 1;
    }

    std::array<std::uint64_t, subCount * 40> buckets {};
    std::uint64_t total = 0;
};

} // namespace cassiaroad
