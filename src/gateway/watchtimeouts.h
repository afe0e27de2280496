#pragma once

#include "process/clock.h"

namespace cassiaroad {

/**
 * Timeouts of the watch calls of a gateway. They double with each call in a row that timed out: on
 * a full link even a connection takes longer than it usually does, and a gateway that gave up as
 * early each time would not hear from the leader until its link is free again. Pure; not
 * thread-safe.
 */
class WatchTimeouts
{
public:
    /** How long a call waits for a connection before the gateway calls another host. */
    Milliseconds connectWait() const { return minConnectWait * this->factor; }

    /**
     * Longest time from a call to its reply, including that for a new connection. @p watchTimeout
     * is how long the leader may wait for a change.
     */
    Milliseconds replyTimeout(Milliseconds watchTimeout) const
    {
        return watchTimeout + minReplyMargin * this->factor;
    }

    /** Records that a call ended without a reply after @p duration. */
    void recordFailure(Milliseconds duration)
    {
        const bool timedOut = duration >= this->connectWait();
        this->factor = timedOut && this->factor < maxFactor ? this->factor * 2 : this->factor;
    }

    /**
     * Records an update of the leader. The reply of another host is none: a nearby host can answer
     * in time over a link on which the leader, further away, cannot.
     */
    void recordUpdate() { this->factor = 1; }

private:
    static constexpr Milliseconds minConnectWait { 300 };
    // Covers the latency, a busy leader and a connection. A call that times out costs the leader a
    // new connection.
    static constexpr Milliseconds minReplyMargin { 700 };
    static constexpr std::int64_t maxFactor = 4;

    std::int64_t factor = 1;
};

} // namespace cassiaroad
