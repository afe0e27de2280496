#pragma once

#include "version/command.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cassiaroad {

/** State of a kept plan. */
enum class PlanState { Proposed, Confirmed, InForce, Completed };

struct PlanEntry
{
    Plan plan;
    PlanState state = PlanState::Proposed;
    ConfirmationId confirmation; // valid unless proposed
    std::set<RouteSubject> remaining; // subjects whose release has not started
    Revision startedRevision = 0; // routing revision of the last step of the plan

    bool operator==(const PlanEntry &) const = default;
};

/** Selects entries of the record. Empty fields match everything. */
struct RecordQuery
{
    std::string who;
    std::string text; // part of who, why, intent or the confirming operator
    std::size_t limit = 100;
};

/** Plans, confirmations with their kept results, and the record. Not thread-safe. */
class PlanBook
{
public:
    Revision placementRevision() const { return this->placement; }

    /** Makes plans with an older basis invalid. @p cause is told to operators who confirm one. */
    void placementChanged(const std::string &cause);

    /** Keeps a plan and returns it with its number. */
    Plan create(Plan plan, GroupTime now, WallTime wall);

    /**
     * Accepts or refuses a confirmation. A pair (operator, number) with a kept result gets that
     * result again; @p isNew says whether the confirmation was accepted by this call.
     */
    Confirmation confirm(const Confirm &command, GroupTime now, WallTime wall, bool &isNew);

    /** Records that the releases of @p subjects, a part of a plan, started at @p revision. */
    void markStarted(PlanNumber plan, const std::vector<RouteSubject> &subjects, Revision revision);

    bool markInForce(const MarkInForce &command, GroupTime now, WallTime wall);
    bool markCompleted(PlanNumber plan, GroupTime now, WallTime wall);

    /** Drops plans and results past their retention and returns whether any was. */
    bool expire(GroupTime now);

    /** Returns a plan, or nullptr. Valid until the next change. */
    const PlanEntry *find(PlanNumber plan) const;

    /** Returns a kept result, or nullptr. Valid until the next change. */
    const Confirmation *result(const ConfirmationId &id) const;

    /** Numbers of plans that are confirmed and not completed. */
    std::vector<PlanNumber> active() const;

    /** Returns matching entries of the record, latest first. */
    std::vector<RecordEntry> search(const RecordQuery &query) const;

    bool operator==(const PlanBook &) const = default;

private:
    friend class ControlStateCodec;

    Confirmation refuse(const Confirm &command, ConfirmStatus status, std::string detail) const;
    Confirmation accept(const Confirm &command, PlanEntry &entry);
    Confirmation conflict(const Confirm &command, const PlanEntry &entry) const;
    bool makeRoom(GroupTime now);
    void trimPlans();
    RecordEntry *recordOf(PlanNumber plan);

    Revision placement = 1;
    std::string lastCause;
    ConfirmationId lastWinner; // the confirmation accepted last; `who` is empty: none
    PlanNumber lastPlan = 0; // the plan it accepted
    Revision lastWinnerPlacement = 0; // the placement revision it made
    PlanNumber planCounter = 0;
    std::map<PlanNumber, PlanEntry> plans;
    std::map<ConfirmationId, Confirmation> results;
    std::deque<RecordEntry> record; // by plan number
};

} // namespace cassiaroad
