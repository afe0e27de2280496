#pragma once

#include "connection/roundtripestimate.h"

namespace cassiaroad {

/**
 * How long connections of this gateway to upstreams take to open, over all upstreams. When the
 * gateway's own link is full, connections to all of them are slow: this tells such a time from the
 * failure of one upstream. Pure; not thread-safe.
 */
class ConnectMonitor
{
public:
    ConnectMonitor();

    /** How long to wait for a new connection. */
    Milliseconds timeout() const { return this->estimate.timeout(); }

    /** Records that an attempt begun at @p startedAt has opened its connection at @p now. */
    void recordOpened(TimePoint startedAt, TimePoint now);

    /**
     * Records that an attempt begun at @p startedAt has got no connection until @p now. Returns
     * whether the upstream is the cause: another connection that was begun later has opened.
     */
    bool recordTimeout(TimePoint startedAt, TimePoint now);

private:
    RoundTripEstimate estimate;
    TimePoint lastOpenedStart; // latest beginning of an attempt that has opened its connection
};

} // namespace cassiaroad
