#pragma once

#include "version/ownershipevent.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cassiaroad {

/** A service as the control group sees it. */
struct ServiceShards
{
    std::string name;
    std::uint32_t shards = 1024;
};

/** Settings of the ownership manager. */
struct OwnershipConfig
{
    std::string zone; // of this member
    std::uint32_t regionIndex = 0; // of the group's region among the regions
    std::uint32_t regionCount = 1;
    std::vector<ServiceShards> services;
    Milliseconds upstreamLease { 1000 };
    Milliseconds entryLease { 1000 };
    Milliseconds announceInterval { 150 };
    Milliseconds watchHold { 150 };
    Milliseconds initialAssignment { 2000 };
    std::uint32_t ejectPercent = 20;
    double imbalanceWeight = 1.0;
    double churnWeight = 1.0;
    double unavailabilityWeight = 1.0;
};

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
