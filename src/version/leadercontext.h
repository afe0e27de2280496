#pragma once

#include "version/controlstate.h"
#include "version/healthtable.h"
#include "version/loadtable.h"
#include "version/ownershipconfig.h"
#include "version/placementpolicy.h"
#include "version/proposaltable.h"
#include "version/upstreamandentryleases.h"

#include <string>
#include <utility>
#include <vector>

namespace cassiaroad {

/**
 * Data that the parts of the ownership manager share while this member is leader: the replicated
 * state, what only the leader knows, the present time, and the actions for the event that is being
 * handled.
 */
struct LeaderContext
{
    LeaderContext(const ControlState &controlState, OwnershipConfig ownershipConfig)
        : state(controlState)
        , config(std::move(ownershipConfig))
        , leases(this->config.upstreamLease, this->config.entryLease)
    { }

    /** Adds the action that proposes @p body; @p call is the call that waits for it, 0: none. */
    void propose(CommandBody body, std::vector<ProposalSubject> proposalSubjects, CallId call = 0)
    {
        this->actions.emplace_back(this->proposals.propose(
                std::move(body), std::move(proposalSubjects), call, this->now));
    }

    /** Returns the settings of a service, or nullptr if it is not configured. */
    const ServiceShards *service(const std::string &name) const
    {
        for (const ServiceShards &candidate : this->config.services) {
            if (candidate.name == name) {
                return &candidate;
            }
        }
        return nullptr;
    }

    const ControlState &state;
    const OwnershipConfig config;
    UpstreamAndEntryLeases leases;
    HealthTable health;
    LoadTable loads;
    ProposalTable proposals;
    TimePoint now;
    std::vector<OwnershipAction> actions;
};

} // namespace cassiaroad
