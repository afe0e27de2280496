#pragma once

#include <cstddef>

namespace cassiaroad {

/**
 * Bounds the bytes of incomplete responses that all calls of a client hold, heads and bodies. A
 * response may become as large as half of the part of the bound that no other one uses: small
 * responses still fit while servers send bytes without end. Not thread-safe.
 */
class ResponseMemory
{
public:
    explicit ResponseMemory(std::size_t maxBytes)
        : maxBytes(maxBytes)
    { }

    /** Changes the bound, also for responses that grow already. */
    void setMaxBytes(std::size_t size) { this->maxBytes = size; }

    /** Returns the size up to which a response that holds @p size bytes may grow now. */
    std::size_t maxSizeOf(std::size_t size) const
    {
        const std::size_t others = this->used - size;
        return others < this->maxBytes ? (this->maxBytes - others) / 2 : 0;
    }

    /** Records that a response which held @p before bytes holds @p after bytes now. */
    void resize(std::size_t before, std::size_t after) { this->used += after - before; }

    /** Bytes of all incomplete responses. */
    std::size_t usedBytes() const { return this->used; }

private:
    std::size_t maxBytes;
    std::size_t used = 0;
};

} // namespace cassiaroad
