#pragma once

#include "version/leadercontext.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cassiaroad {

/**
 * Replies to the intents and confirmations of operators, and tracks confirmed plans until they are
 * in force on the entry hosts and every move is complete. Not thread-safe.
 */
class PlanSupervisor
{
public:
    /** @p context must outlive the supervisor. */
    explicit PlanSupervisor(LeaderContext &context);

    /** Forgets waiting calls and expected entry hosts, for a new term of leadership. */
    void reset();

    /** Replies with a refusal, or proposes to store the plan for the intent. */
    void onPlanRequested(const PlanRequested &event);

    /** Uses the stored result of a repeated confirmation; proposes a new confirmation. */
    void onConfirmRequested(const ConfirmRequested &event);

    /**
     * Handles the committed result of a confirmation. The reply to @p call waits until an accepted
     * plan is in force.
     */
    void onConfirmCommitted(CallId call, const Confirmation &result);

    /**
     * Replies to confirmations whose plans are in force or whose wait timed out, proposes to record
     * plans as in force or completed, and requests a transfer of leadership if the zone of this
     * member is out of service.
     */
    void step();

    /** Returns the calls that wait for a plan to be in force. */
    std::vector<CallId> waitingCalls() const;

private:
    /** A confirmation call that waits for its plan to be in force. */
    struct WaitingConfirmation
    {
        CallId call = 0;
        ConfirmationId id;
        TimePoint since;
    };

    void answerWaitingConfirmations();

    /** Proposes to mark a plan as in force or as completed when it has reached that state. */
    void supervise(const PlanEntry &entry);

    /** Proposes to mark a plan as in force, with the entry hosts that have seen it. */
    void markInForce(const PlanEntry &entry);
    bool hasCompletedMoves(PlanNumber plan) const;

    /** Requests that leadership moves to another zone if the own zone is out of service. */
    void transferLeadership();

    LeaderContext &context;
    std::vector<WaitingConfirmation> waitingConfirmations;
    // Entry hosts that had a live lease at any time since the confirmation of the plan.
    std::map<PlanNumber, std::set<EntryHostId>> expectedHosts;
    TimePoint lastTransfer; // when a transfer of leadership was last requested
};

} // namespace cassiaroad
