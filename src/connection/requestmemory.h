#pragma once

#include <cstddef>

namespace cassiaroad {

/**
 * Bounds the bytes of all requests and unwritten responses that a listener holds. Small ones have a
 * share of the bound for themselves, so that they pass beside large ones. Responses that are still
 * to come can be expected, so that what arrives meanwhile leaves room for them. One request that is
 * too large for the bound can be held apart while the others take little. Not thread-safe.
 */
class RequestMemory
{
public:
    /** Size up to which a request or a response is small. */
    static constexpr std::size_t smallRequestBytes = std::size_t(256) * 1024;

    /** @p maxLargestBytes: bound of a request that is held apart; 0: none is. */
    explicit RequestMemory(std::size_t maxBytes, std::size_t maxLargestBytes = 0)
        : maxBytes(maxBytes)
        , maxLargestBytes(maxLargestBytes)
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

    /** Whether a request of @p size bytes does not fit, also if there is no other. */
    bool isTooLarge(std::size_t size) const { return size > shareOf(size, this->maxBytes); }

    /**
     * Holds a request apart that grows from @p before to @p after bytes. Returns false, and changes
     * nothing, if another one is held apart, the others take more than the bound that they would
     * have, or it is too large for that, too.
     */
    bool holdApart(std::size_t before, std::size_t after)
    {
        const std::size_t others = this->used - before + this->expected;
        if (this->apart > 0 || others > this->boundBesideApart() || after > this->maxLargestBytes) {
            return false;
        }
        this->used -= before;
        this->apart = after;
        return true;
    }

    /** Changes the size of the request that is held apart. Returns false if it is too large. */
    bool resizeApart(std::size_t size)
    {
        if (size > this->maxLargestBytes) {
            return false;
        }
        this->apart = size;
        return true;
    }

    /** The request that was held apart holds @p size bytes, and counts like others again. */
    void endApart(std::size_t size)
    {
        this->apart = 0;
        this->used += size;
    }

    /** Records @p size bytes more, also beyond the bound. */
    void add(std::size_t size) { this->used += size; }

    /** Sets room aside for a response of about @p size bytes, until expectNoMore(). */
    void expect(std::size_t size) { this->expected += size; }
    void expectNoMore(std::size_t size) { this->expected -= size; }

    /** Bytes that must be released before one that holds @p before bytes fits with @p size bytes.
     */
    std::size_t missingFor(std::size_t size, std::size_t before = 0) const
    {
        const std::size_t others = this->used - before;
        if (!this->isTooLarge(size)) {
            return this->excess(others, size);
        }
        const std::size_t taken = others + this->expected + this->apart;
        return taken > this->boundBesideApart() ? taken - this->boundBesideApart() : 0;
    }

    /** As above, beside the responses that are expected. */
    std::size_t missingBesideExpected(std::size_t size) const
    {
        return this->excess(this->used + this->expected, size);
    }

    /** Whether more than half of the bound is taken or set aside. */
    bool isShort() const { return this->used + this->expected > this->bound() / 2; }

    /** Whether a request of @p size bytes fits if there is no other. */
    bool canFit(std::size_t size) const
    {
        return !this->isTooLarge(size) || size <= this->maxLargestBytes;
    }

    /** Bytes of all requests and unwritten responses. */
    std::size_t usedBytes() const { return this->used + this->apart; }

    /** Bytes that are set aside for responses. */
    std::size_t expectedBytes() const { return this->expected; }

    /** Bound of all requests and responses but the one that is held apart. */
    std::size_t bound() const
    {
        return this->apart > 0 ? this->boundBesideApart() : this->maxBytes;
    }

private:
    static std::size_t shareOf(std::size_t size, std::size_t bound)
    {
        return size <= smallRequestBytes ? bound : bound / 8 * 7;
    }

    /** Bound of all requests when one of them grows to @p size bytes. */
    std::size_t boundOf(std::size_t size) const { return shareOf(size, this->bound()); }

    std::size_t boundBesideApart() const { return this->maxBytes / 8; }

    /** By how much @p taken and @p size together exceed the bound. */
    std::size_t excess(std::size_t taken, std::size_t size) const
    {
        const std::size_t total = taken + size;
        return total > this->boundOf(size) ? total - this->boundOf(size) : 0;
    }

    std::size_t maxBytes;
    std::size_t maxLargestBytes;
    std::size_t apart = 0; // of the request that is held apart; 0: there is none
    std::size_t used = 0; // of the others
    std::size_t expected = 0;
};

} // namespace cassiaroad
