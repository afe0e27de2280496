#pragma once

#include "connection/pipelinedhead.h"

#include <deque>
#include <functional>
#include <optional>

namespace cassiaroad {

/**
 * Decides which requests of an HTTP/1.1 connection start before their turn, while an earlier one is
 * open: those that follow it without a gap, up to a fixed number, until one does not fit. h2o hands
 * on the requests of a connection one by one, in their order; takeTurn() tells whether that request
 * was started already. Pure; not thread-safe.
 */
class PipelineWindow
{
public:
    /** Whether the request may run before its turn, as far as its listener can tell. */
    using MayStart = std::function<bool(const PipelinedHead &)>;

    struct Decision
    {
        std::vector<PipelinedHead> starting; // in their order
        bool awaitsMore = false; // further bytes may let another request start

        bool operator==(const Decision &) const = default;
    };

    /** At most @p maxRequests wait for their turn; a head has at most @p maxHeadBytes. */
    PipelineWindow(std::size_t maxRequests, std::size_t maxHeadBytes);

    /**
     * Returns the requests that start now, and records them. @p bytes is what has arrived on the
     * connection from the head of the open request on. @p mayStart is asked for the open request
     * first, then for each that fits, in their order; the first that it rejects ends the search.
     */
    Decision decide(std::string_view bytes, const MayStart &mayStart);

    /**
     * A request that begins with @p bytes has its turn, and is the open one from now on. Returns
     * whether it is the first of those that were started; otherwise all of them are forgotten.
     */
    bool takeTurn(std::string_view bytes);

    /** Forgets all but the first @p count requests that were started. */
    void truncate(std::size_t count);

    /** Number of requests that were started and have not had their turn. */
    std::size_t size() const { return this->started.size(); }

private:
    bool readOpen(std::string_view bytes, const MayStart &mayStart);

    std::size_t maxRequests;
    std::size_t maxHeadBytes;
    std::size_t openBytes = 0; // of the head of the open request; 0: not read yet
    bool isBlocked = false; // nothing starts behind the open request
    std::deque<std::string> started; // normalized heads
};

} // namespace cassiaroad
