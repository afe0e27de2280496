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

/** Proposes first assignments and both steps of changes of owner. Not thread-safe. */
class MoveSupervisor
{
public:
    /** Both arguments must outlive the supervisor. */
    MoveSupervisor(LeaderContext &context, const UpstreamSupervisor &upstreams);

    void reset();

    /**
     * Notes when the last lease that contained each releasing subject lapses. To be called before
     * a lease is issued from a changed state.
     */
    void sync();

    /** Proposes what is due. */
    void step();

    /** Scans all routes at the next step, for example after a failed proposal. */
    void rescan() { this->scannedRevision.reset(); }

private:
    struct Lapse
    {
        Epoch epoch = 0;
        TimePoint at;
    };
    using Targets = std::map<std::uint32_t, std::string>; // shard -> new owner

    bool assignDue() const;
    void scan();
    void assignShards(const ServiceShards &service);
    void releaseService(const ServiceShards &service);
    std::optional<MoveReason> reasonToMove(const UpstreamId &owner, const RouteEntry &entry) const;
    const Targets &targetsOf(const std::string &service);
    std::string targetFor(const RouteSubject &subject, const RouteEntry &entry);
    void noteOutages();
    bool recovering(const std::string &service) const;
    bool accepts(const std::string &service, const std::string &upstream) const;
    void proposeStart(MoveReason reason, PlanNumber plan, std::vector<ReleaseStart> moves);
    void startPlans();
    void startPlan(const PlanEntry &entry);
    std::optional<ReleaseStart> planStart(const PlannedMove &move) const;
    void complete();
    bool mayComplete(const RouteSubject &subject, const RouteEntry &entry) const;

    LeaderContext &context;
    const UpstreamSupervisor &upstreams;
    std::map<RouteSubject, Lapse> lapses;
    std::optional<Revision> syncedRevision;
    std::optional<Revision> scannedRevision;
    std::map<std::string, TimePoint> outages; // when a service last had no accepting upstream
    std::set<std::string> unassigned; // services with shards that never had an owner
    std::map<std::string, Targets> targets; // of the present step
};

} // namespace cassiaroad
