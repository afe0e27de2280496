#pragma once

#include "version/ownershipconfig.h"
#include "version/ownershipevent.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cassiaroad {

/** Entry host with a live lease, for status pages. */
struct EntryHostStatus
{
    EntryHostId host;
    std::string zone;
    Revision seenRevision = 0;
    Revision drainedRevision = 0;
};

/**
 * Leader's decisions about leases and changes of owner (design, section 4). Pure: events and time
 * come in, actions go out. Not thread-safe.
 */
class OwnershipManager
{
public:
    /** @p state must outlive the manager and be changed only between calls of handle. */
    OwnershipManager(const ControlState &state, OwnershipConfig config);
    ~OwnershipManager();
    OwnershipManager(const OwnershipManager &) = delete;
    OwnershipManager &operator=(const OwnershipManager &) = delete;

    /**
     * Handles one event. @p now never goes back. @p hasLeaderLease says whether the leader lease
     * is valid at @p now; without it no lease is issued and calls are answered ReplyNotLeader.
     * The driver sends replies at once, and checks the leader lease again just before sending.
     */
    std::vector<OwnershipAction> handle(const OwnershipEvent &event, TimePoint now,
                                        bool hasLeaderLease);

    /** Whether the takeover wait of this leader has passed at @p now. */
    bool mayCompleteMoves(TimePoint now) const;

    /** Entry hosts with a live lease. */
    std::vector<EntryHostStatus> entryHosts(TimePoint now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace cassiaroad
