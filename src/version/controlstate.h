#pragma once

#include "version/command.h"
#include "version/planstore.h"
#include "version/requestledger.h"
#include "version/routingstate.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Upper bounds of the control state. They must be equal on all members of a group. */
struct ControlLimits
{
    std::size_t movedKeys = 1024; // capacity of the table of moved keys
    std::size_t ledgerRecordLimit = 100000;
    Milliseconds ledgerRetention { 24LL * 3600 * 1000 };

    bool operator==(const ControlLimits &) const = default;
};

/** The command was applied, at least in part. */
struct CommandApplied
{
    bool operator==(const CommandApplied &) const = default;
};

/** The command is not valid in the present state; nothing was changed. */
struct CommandIgnored
{
    std::string reason;
    bool operator==(const CommandIgnored &) const = default;
};

using CommandResult = std::variant<CommandApplied, CommandIgnored, Plan, Confirmation,
                                   LedgerBeginResult, LedgerFinishResult>;

/**
 * State of a control group, which results from applying the replicated log. It is deterministic:
 * equal commands in equal order give equal states, results and snapshots. Not thread-safe.
 */
class ControlState
{
public:
    explicit ControlState(ControlLimits limits = {});

    /** Applies the next command of the log. */
    CommandResult apply(const Command &command);

    /** Latest group time of the commands so far; it never decreases. */
    GroupTime groupTime() const { return this->time; }

    /** Revision of the routing part: upstreams, routes and settings. 0: it never changed. */
    Revision revision() const { return this->routingPart.revision(); }

    /** Revision that is raised by each change that invalidates older plans. */
    Revision placementRevision() const { return this->planPart.placementRevision(); }

    const RoutingState &routing() const { return this->routingPart; }
    const PlanStore &plans() const { return this->planPart; }
    const RequestLedger &ledger() const { return this->ledgerPart; }
    const ControlLimits &limits() const { return this->controlLimits; }

    /**
     * Returns the routing changes since revision @p since, or a complete table if @p since is 0 or
     * too old for the history.
     */
    RouteDelta deltaSince(Revision since) const { return this->routingPart.deltaSince(since); }

    /** Returns the complete state as CBOR. */
    std::string snapshot() const;

    /** Restores a snapshot, or returns nothing if the bytes are not a snapshot. */
    static std::optional<ControlState> restore(const std::string &bytes, ControlLimits limits = {});

    bool operator==(const ControlState &other) const;

private:
    friend class ControlStateCodec;

    CommandResult applyBody(const RegisterUpstream &body, const Command &command);
    CommandResult applyBody(const ChangeUpstream &body, const Command &command);
    CommandResult applyBody(const RemoveUpstream &body, const Command &command);
    CommandResult applyBody(const AssignShards &body, const Command &command);
    CommandResult applyBody(const StartMove &body, const Command &command);
    CommandResult applyBody(const CompleteMove &body, const Command &command);
    CommandResult applyBody(const CreatePlan &body, const Command &command);
    CommandResult applyBody(const Confirm &body, const Command &command);
    CommandResult applyBody(const MarkInForce &body, const Command &command);
    CommandResult applyBody(const MarkCompleted &body, const Command &command);
    CommandResult applyBody(const LedgerBegin &body, const Command &command);
    CommandResult applyBody(const LedgerFinish &body, const Command &command);
    CommandResult applyBody(const LedgerAbandon &body, const Command &command);
    CommandResult applyBody(const ExpireRecords &body, const Command &command);

    /** Whether a planned move needs no further attempt: it has started, or it cannot start. */
    bool hasStarted(const ReleaseStart &move, PlanNumber plan) const;

    /** Returns the shards and keys of @p body for which hasStarted() is true. */
    std::vector<RouteSubject> startedSubjects(const StartMove &body) const;

    /** Applies the intent of a confirmed plan to the settings and the state of upstreams. */
    void applyIntent(const Plan &plan);

    ControlLimits controlLimits;
    GroupTime time = 0;
    RoutingState routingPart;
    PlanStore planPart;
    RequestLedger ledgerPart;
};

} // namespace cassiaroad
