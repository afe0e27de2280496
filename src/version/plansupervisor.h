#pragma once

#include "version/leadercontext.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cassiaroad {

/**
 * Answers intents and confirmations, and follows confirmed plans until they are in force and
 * completed. Not thread-safe.
 */
class PlanSupervisor
{
public:
    /** @p context must outlive the supervisor. */
    explicit PlanSupervisor(LeaderContext &context);

    void reset();

    void planRequested(const PlanRequested &event);
    void confirmRequested(const ConfirmRequested &event);

    /** Handles the committed result of a confirmation proposed for @p call. */
    void confirmed(CallId call, const Confirmation &result);

    /** Answers confirmations that came into force and proposes marks for the record. */
    void step();

    /** Calls that wait for a plan to be in force. */
    std::vector<CallId> waitingCalls() const;

private:
    struct Waiting
    {
        CallId call = 0;
        ConfirmationId id;
        TimePoint since;
    };

    void answerWaiting();
    void supervise(const PlanEntry &entry);
    void markInForce(const PlanEntry &entry);
    bool movesComplete(PlanNumber plan) const;
    void transferLeadership();

    LeaderContext &context;
    std::vector<Waiting> waiting;
    std::map<PlanNumber, std::set<EntryHostId>> expectedHosts; // live since the confirmation
    TimePoint lastTransfer;
};

} // namespace cassiaroad
