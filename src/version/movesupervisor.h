#pragma once

#include "version/leadercontext.h"
#include "version/placementinput.h"
#include "version/upstreamsupervisor.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cassiaroad {

/**
 * Proposes first owners of shards and both steps of a change of owner: StartMove, which puts a
 * shard or key into the state Releasing, and CompleteMove, which gives it the new owner. Not
 * thread-safe.
 */
class MoveSupervisor
{
public:
    /** Both arguments must outlive the supervisor. */
    MoveSupervisor(LeaderContext &context, const UpstreamSupervisor &upstreams);

    /** Clears what was derived from the state and from time, for a new term of leadership. */
    void reset();

    /**
     * Records when the last lease that contains a shard or key expires, for each releasing one that
     * new leases no longer contain. Must be called before a lease is issued from a changed state.
     */
    void updateLeaseExpiries();

    /** Proposes the assignments and moves that are due. */
    void step();

    /** Makes the next step scan all routes again, for example after a failed proposal. */
    void requestRescan() { this->scannedRevision.reset(); }

private:
    /** When the last lease that contains a releasing shard or key expires. */
    struct LeaseExpiry
    {
        Epoch epoch = 0; // of the owner that releases
        TimePoint at;
    };
    using Targets = std::map<std::uint32_t, std::string>; // shard -> new owner

    bool hasDueAssignment() const;
    void scanRoutes();
    void proposeAssignments(const ServiceShards &service);
    void proposeReleases(const ServiceShards &service);

    /**
     * Returns why a release of a shard or key by @p owner must start; nothing: it need not, or it
     * has started for that reason.
     */
    std::optional<MoveReason> reasonToMove(const UpstreamId &owner, const RouteEntry &entry) const;

    /** Returns the new owners of the shards of a service that have no accepting owner. */
    const Targets &targetsOf(const std::string &service);

    /** Returns the new owner of a shard or key that must move; empty: no upstream accepts it. */
    std::string targetFor(const RouteSubject &subject, const RouteEntry &entry);

    /** Records which services have no accepting upstream at present. */
    void recordOutages();
    bool isRecovering(const std::string &service) const;
    bool accepts(const std::string &service, const std::string &upstream) const;
    void proposeStartMoves(MoveReason reason, PlanNumber plan, std::vector<ReleaseStart> moves);
    void proposePlannedMoves();
    void proposeMovesOf(const PlanEntry &entry);

    /** Returns the release that starts a planned move; nothing: it cannot start at present. */
    std::optional<ReleaseStart> releaseStartFor(const PlannedMove &move) const;
    void proposeCompleteMoves();

    /**
     * Whether neither an entry host nor the previous owner uses the route any more, so that a new
     * owner can take over.
     */
    bool canComplete(const RouteSubject &subject, const RouteEntry &entry) const;

    LeaderContext &context;
    const UpstreamSupervisor &upstreams;
    std::map<RouteSubject, LeaseExpiry> leaseExpiries;
    std::optional<Revision> leaseExpiriesRevision; // routing revision that leaseExpiries reflects
    std::optional<Revision> scannedRevision; // routing revision of the last scan; empty: scan
    std::map<std::string, TimePoint> outages; // when a service last had no accepting upstream
    std::set<std::string> unassigned; // services with shards that never had an owner
    std::map<std::string, Targets> targets; // by service, computed for the current step
};

} // namespace cassiaroad
