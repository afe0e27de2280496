#pragma once

#include "process/clock.h"
#include "version/routetable.h"

#include <memory>

namespace cassiaroad {

/**
 * Route table and lease of an entry host, updated by the replies to its watch calls. Never goes
 * back to an older revision, whichever member replies. Pure; not thread-safe.
 */
class RouteTableCache
{
public:
    enum class Result {
        Changed, // a newer table is in effect
        Unchanged, // the lease was renewed
        Refused, // the reply is older than the table or based on another one; table and lease stay
    };

    /** Applies a reply. The lease counts from @p sentAt, the time at which the call was sent. */
    Result apply(const RouteDelta &delta, TimePoint sentAt, Milliseconds lease);

    /** Whether requests may be routed at @p now. */
    bool hasLease(TimePoint now) const { return now < this->leaseEnd; }

    const std::shared_ptr<const RouteTable> &table() const { return this->current; }

    /**
     * Revision to request changes from. 0 requests a complete table, initially and after a reply
     * that was based on another table.
     */
    Revision seenRevision() const { return this->needsComplete ? 0 : this->current->revision(); }

private:
    std::shared_ptr<const RouteTable> current = std::make_shared<RouteTable>();
    TimePoint leaseEnd;
    bool needsComplete = true;
};

} // namespace cassiaroad
