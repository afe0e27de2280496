#pragma once

#include "version/command.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cassiaroad {

/** State of a stored plan. */
enum class PlanState { Proposed, Confirmed, InForce, Completed };

/** A stored plan with its progress. */
struct PlanEntry
{
    Plan plan;
    PlanState state = PlanState::Proposed;
    ConfirmationId confirmation; // valid unless proposed
    std::set<RouteSubject> remaining; // shards and keys whose release has not started
    Revision startedRevision = 0; // routing revision of the last release that started

    bool operator==(const PlanEntry &) const = default;
};

/** Selects entries of the record. Empty fields match everything. */
struct RecordQuery
{
    std::string who;
    std::string text; // part of who, why, intent or the confirming operator
    std::size_t limit = 100;
};

/**
 * Part of the control state that stores plans, the results of confirmations, and the record of who
 * changed what and why. Not thread-safe.
 */
class PlanStore
{
public:
    /** Revision that invalidatePlans() raises; a plan with an older basis cannot be confirmed. */
    Revision placementRevision() const { return this->placement; }

    /**
     * Raises the placement revision, so that plans with an older basis are invalid. @p cause is
     * reported to operators who confirm one.
     */
    void invalidatePlans(const std::string &cause);

    /** Stores a plan and returns it with its number. */
    Plan create(Plan plan, GroupTime now, WallTime wallTime);

    /**
     * Accepts or refuses a confirmation; the results Accepted and Conflict are stored. If the pair
     * (operator, number) has a stored result for the same plan, that is returned again. Sets
     * @p isNew to whether this call accepted the confirmation.
     */
    Confirmation confirm(const Confirm &command, GroupTime now, WallTime wallTime, bool &isNew);

    /**
     * Records that the releases of @p subjects, a part of the moves of @p plan, started at routing
     * revision @p revision.
     */
    void markStarted(PlanNumber plan, const std::vector<RouteSubject> &subjects, Revision revision);

    /** Records that a confirmed plan is in force; returns false in any other state. */
    bool markInForce(const MarkInForce &command, GroupTime now, WallTime wallTime);

    /** Records that a plan in force is completed; returns false in any other state. */
    bool markCompleted(PlanNumber plan, GroupTime now, WallTime wallTime);

    /** Removes plans and results past their retention and returns whether there were any. */
    bool expire(GroupTime now);

    /** Returns a plan, or nullptr. Valid until the next change. */
    const PlanEntry *find(PlanNumber plan) const;

    /** Returns the stored result of a confirmation, or nullptr. Valid until the next change. */
    const Confirmation *result(const ConfirmationId &id) const;

    /** Returns the numbers of the plans that are confirmed and not completed. */
    std::vector<PlanNumber> active() const;

    /** Returns matching entries of the record, latest first. */
    std::vector<RecordEntry> search(const RecordQuery &query) const;

    bool operator==(const PlanStore &) const = default;

private:
    friend class ControlStateCodec;

    /** Returns a result for @p command that is not stored yet. */
    Confirmation makeResult(const Confirm &command, ConfirmStatus status, std::string detail) const;
    Confirmation accept(const Confirm &command, PlanEntry &entry);
    Confirmation conflict(const Confirm &command, const PlanEntry &entry) const;

    /** Removes the oldest result if the store is full; returns false if it is too recent. */
    bool ensureResultCapacity(GroupTime now);
    void trimPlans();
    RecordEntry *recordOf(PlanNumber plan);

    Revision placement = 1; // placement revision
    std::string lastCause; // of the last call of invalidatePlans()
    ConfirmationId lastWinner; // confirmation that was accepted last; `who` is empty: none
    PlanNumber lastPlan = 0; // plan that it confirmed
    Revision lastWinnerPlacement = 0; // placement revision that it led to
    PlanNumber planCounter = 0;
    std::map<PlanNumber, PlanEntry> plans;
    std::map<ConfirmationId, Confirmation> results;
    std::deque<RecordEntry> record; // ordered by plan number
};

} // namespace cassiaroad
