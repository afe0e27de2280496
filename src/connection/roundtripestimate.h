#pragma once

#include "process/clock.h"

namespace cassiaroad {

/**
 * Timeout for the replies of one host, from the round-trip times of earlier ones (as in RFC 6298).
 * A fixed timeout below the present round-trip time of a full link would close each connection
 * before its first reply arrives. Pure; not thread-safe.
 */
class RoundTripEstimate
{
public:
    /** Precondition: 0 < @p minTimeout <= @p maxTimeout. The timeout is @p minTimeout at first. */
    RoundTripEstimate(Milliseconds minTimeout, Milliseconds maxTimeout);

    /** How long to wait for a reply. */
    Milliseconds timeout() const;

    /** Records that a reply took @p roundTrip. */
    void recordReply(Milliseconds roundTrip);

    /**
     * Records that a call ended without a reply after @p waited. If that is the timeout or more,
     * the timeout doubles until the next reply; a connection that is refused at once does not
     * count.
     */
    void recordFailure(Milliseconds waited);

private:
    Milliseconds minTimeout;
    Milliseconds maxTimeout;
    bool hasSample = false;
    Milliseconds smoothed; // moving average of the round-trip times
    Milliseconds variation; // moving average of their distance from the average
    std::int64_t backoff = 1; // doubles with each timeout in a row
};

} // namespace cassiaroad
