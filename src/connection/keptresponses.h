#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace cassiaroad {

/** Whether a request may be handled before its turn, and what response is expected. */
enum class RunAhead {
    Never, // only at its turn
    Small, // a response of usual size
    Large, // a response that may take much of the memory
};

/**
 * Bounds the memory of responses to requests that were started before their turn. Each of them
 * reserves the expected size of its response when it starts. The expected size of each kind follows
 * its responses: it rises at once to a larger one, and falls slowly. Pure; not thread-safe.
 */
class KeptResponses
{
public:
    /** Expected size of the first small responses. */
    static constexpr std::size_t initialBytes = std::size_t(256) * 1024;
    static constexpr std::size_t minBytes = std::size_t(64) * 1024;
    static constexpr std::size_t maxTriedShare = 3;

    explicit KeptResponses(std::size_t maxBytes)
        : maxBytes(maxBytes)
        , expected { std::min(initialBytes, maxBytes), maxBytes }
    { }

    /** Size that a request reserves when it starts now. Precondition: @p kind is not Never. */
    std::size_t expectedBytes(RunAhead kind) const { return this->expected.at(indexOf(kind)); }

    /**
     * Whether a request may start that reserves expectedBytes(). While responses are larger than
     * the bound, one in some hundred requests may, so that smaller responses are noticed; none
     * after one of more than maxTriedShare times the bound, since two such responses may not fit
     * into the memory of the listener.
     */
    bool canStart(RunAhead kind)
    {
        std::size_t &size = this->expected.at(indexOf(kind));
        if (size > this->maxBytes) {
            size = size > this->maxBytes * maxTriedShare ? size : lowered(size);
            return false;
        }
        return this->used + size <= this->maxBytes;
    }

    /** Records that a request or its response holds @p after bytes instead of @p before. */
    void resize(std::size_t before, std::size_t after) { this->used += after - before; }

    /** Records the size of a response. */
    void recordSize(RunAhead kind, std::size_t size)
    {
        std::size_t &current = this->expected.at(indexOf(kind));
        current = std::max({ size, lowered(current), std::min(minBytes, this->maxBytes) });
    }

    /** Bytes that all of them reserve or hold. */
    std::size_t usedBytes() const { return this->used; }

private:
    static std::size_t lowered(std::size_t size)
    {
        constexpr std::size_t decayShare = 64;
        return size - size / decayShare;
    }

    static std::size_t indexOf(RunAhead kind) { return kind == RunAhead::Large ? 1 : 0; }

    std::size_t maxBytes;
    std::array<std::size_t, 2> expected; // by kind
    std::size_t used = 0;
};

} // namespace cassiaroad
