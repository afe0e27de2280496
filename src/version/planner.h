#pragma once

#include "version/controlstate.h"
#include "version/loadtable.h"
#include "version/ownershipconfig.h"
#include "version/placementinput.h"

#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Why no plan could be made; a sentence for the operator. */
struct IntentRefused
{
    std::string reason;
    bool operator==(const IntentRefused &) const = default;
};

using PlanResult = std::variant<Plan, IntentRefused>;

/**
 * Computes plans from one state. Pure: changes nothing. Thread-safe if its arguments do not
 * change meanwhile.
 */
class Planner
{
public:
    /** The arguments must outlive the planner. */
    Planner(const ControlState &state, const LoadTable &loads, const OwnershipConfig &config);

    /** Returns a plan with the present placement revision as its basis, without a number. */
    PlanResult plan(const Intent &intent, const std::string &who, const std::string &why) const;

private:
    PlanResult planFor(const DrainUpstream &intent) const;
    PlanResult planFor(const ReturnUpstream &intent) const;
    PlanResult planFor(const MoveKey &intent) const;
    PlanResult planFor(const ZoneOut &intent) const;
    PlanResult planFor(const ZoneIn &intent) const;
    PlanResult planFor(const SetSetting &intent) const;
    PlanResult planFor(const Rebalance &intent) const;

    std::string refuseTarget(const MoveKey &intent) const;
    void leave(Plan &plan, const ServiceShards &service, const std::vector<std::string> &leaving,
               const std::string &why) const;
    void leaveKeys(Plan &plan, const ServiceShards &service, const PlacementInput &input,
                   const std::vector<std::string> &leaving, const std::string &why) const;
    void spread(Plan &plan, const ServiceShards &service, const PlacementInput &input) const;
    void addEffects(Plan &plan) const;
    PlacementInput read(const ServiceShards &service) const;
    const ServiceShards *service(const std::string &name) const;
    double loadOf(const RouteSubject &subject) const;

    const ControlState &state;
    const LoadTable &loads;
    const OwnershipConfig &config;
};

} // namespace cassiaroad
