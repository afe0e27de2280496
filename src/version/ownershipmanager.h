#pragma once

#include "version/ownershipconfig.h"
#include "version/ownershipevent.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cassiaroad {

/** An entry host with a live lease, for status pages. */
struct EntryHostStatus
{
    EntryHostId host;
    std::string zone;
    Revision seenRevision = 0;
    Revision drainedRevision = 0;
};

/**
 * Decides for the leader of a control group which leases are issued and which owners change
 * (design, section 4). It does no I/O and reads no clock: it turns events and the time into
 * actions for its driver. Not thread-safe.
 */
class OwnershipManager
{
public:
    /** @p state must outlive the manager and change only between calls of handle(). */
    OwnershipManager(const ControlState &state, OwnershipConfig config);
    ~OwnershipManager();
    OwnershipManager(const OwnershipManager &) = delete;
    OwnershipManager &operator=(const OwnershipManager &) = delete;

    /**
     * Handles one event and returns the actions to carry out. @p now must never go back.
     * @p hasLeaderLease says whether the leader lease is valid at @p now; without it no lease is
     * issued and the reply to each call is ReplyNotLeader. The driver must send replies at once and
     * check the leader lease again just before it sends them.
     */
    std::vector<OwnershipAction> handle(const OwnershipEvent &event, TimePoint now,
                                        bool hasLeaderLease);

    /**
     * Whether this member is leader and has waited at @p now until every lease of earlier leaders
     * has expired, so that it can complete moves.
     */
    bool canCompleteMoves(TimePoint now) const;

    /** Returns the entry hosts with a live lease at @p now. */
    std::vector<EntryHostStatus> entryHosts(TimePoint now) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace cassiaroad
