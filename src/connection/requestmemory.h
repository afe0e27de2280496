#pragma once

#include <cstddef>

namespace cassiaroad {

/**
 * Bounds the bytes of all requests that a listener holds. Small requests have a share of the bound
 * for themselves, so that they pass beside large ones. Not thread-safe.
 */
class RequestMemory
{
public:
    /** Size up to which a request is small. */
    static constexpr std::size_t smallRequestBytes = std::size_t(256) * 1024;

    explicit RequestMemory(std::size_t maxBytes)
        : maxBytes(maxBytes)
    { }

    /**
     * Records that a request which held @p before bytes holds @p after bytes. Returns false, and
     * changes nothing, if it grows and there is no room.
     */
    bool resize(std::size_t before, std::size_t after)
    {
        const std::size_t total = this->used - before + after;
        if (after > before && total > this->boundOf(after)) {
            return false;
        }
        this->used = total;
        return true;
    }

    /** Whether a request of @p size bytes fits if there is no other. */
    bool canFit(std::size_t size) const { return size <= this->boundOf(size); }

    /** Bytes of all requests. */
    std::size_t usedBytes() const { return this->used; }

private:
    /** Bound of all requests when one of them grows to @p size bytes. */
    std::size_t boundOf(std::size_t size) const
    {
        return size <= smallRequestBytes ? this->maxBytes : this->maxBytes / 8 * 7;
    }

    std::size_t maxBytes;
    std::size_t used = 0;
};

} // namespace cassiaroad
