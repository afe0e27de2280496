#pragma once

#include "version/controlstate.h"
#include "version/loadtable.h"
#include "version/ownershipconfig.h"
#include "version/placementinput.h"

#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Reason why an intent leads to no plan, as a sentence for the operator. */
struct IntentRefused
{
    std::string reason;
    bool operator==(const IntentRefused &) const = default;
};

using PlanResult = std::variant<Plan, IntentRefused>;

/**
 * Computes the plan of an intent: which shards and keys would change owner, and the effects. It
 * only reads its arguments and has no state of its own. Thread-safe if its arguments do not change
 * meanwhile.
 */
class Planner
{
public:
    /** The arguments must outlive the planner. */
    Planner(const ControlState &state, const LoadTable &loads, const OwnershipConfig &config);

    /**
     * Returns a plan whose basis is the current placement revision, or the reason for the refusal.
     * The plan has no number yet; PlanStore::create() assigns it. An intent without @p who or
     * @p why is refused.
     */
    PlanResult plan(const Intent &intent, const std::string &who, const std::string &why) const;

private:
    PlanResult planFor(const DrainUpstream &intent) const;
    PlanResult planFor(const ReturnUpstream &intent) const;
    PlanResult planFor(const MoveKey &intent) const;
    PlanResult planFor(const ZoneOut &intent) const;
    PlanResult planFor(const ZoneIn &intent) const;
    PlanResult planFor(const SetSetting &intent) const;
    PlanResult planFor(const Rebalance &intent) const;

    /** Returns why the target of @p intent cannot own the key; empty: it can. */
    std::string targetRefusal(const MoveKey &intent) const;

    /**
     * Adds moves for the shards and keys of the upstreams @p leaving, which are taken out of
     * service, and what becomes unreachable because no other upstream accepts it.
     */
    void addDrainMoves(Plan &plan, const ServiceShards &service,
                       const std::vector<std::string> &leaving, const std::string &why) const;

    /**
     * Adds moves of the moved keys of @p leaving to the owners of their shards, and the keys whose
     * owner would not accept them as unreachable.
     */
    void addKeyDrainMoves(Plan &plan, const ServiceShards &service, const PlacementInput &input,
                          const std::vector<std::string> &leaving, const std::string &why) const;

    /** Adds the moves that balance the load between the accepting upstreams of @p service. */
    void addRebalanceMoves(Plan &plan, const ServiceShards &service,
                           const PlacementInput &input) const;

    /** Adds the number of keys that change owner and the time for which they are unreachable. */
    void addEffects(Plan &plan) const;
    PlacementInput read(const ServiceShards &service) const;
    const ServiceShards *service(const std::string &name) const;
    double loadOf(const RouteSubject &subject) const;

    const ControlState &state;
    const LoadTable &loads;
    const OwnershipConfig &config;
};

} // namespace cassiaroad
