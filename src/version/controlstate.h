#pragma once

#include "version/command.h"
#include "version/planbook.h"
#include "version/requestledger.h"
#include "version/routingstate.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Bounds of the control state. Equal on all members of a group. */
struct ControlLimits
{
    std::size_t movedKeys = 1024;
    std::size_t ledgerRecordLimit = 100000;
    Milliseconds ledgerRetention { 24LL * 3600 * 1000 };

    bool operator==(const ControlLimits &) const = default;
};

/** The command was carried out, at least in part. */
struct CommandApplied
{
    bool operator==(const CommandApplied &) const = default;
};

/** The command no longer fits the state; nothing was changed. */
struct CommandIgnored
{
    std::string reason;
    bool operator==(const CommandIgnored &) const = default;
};

using CommandResult = std::variant<CommandApplied, CommandIgnored, Plan, Confirmation,
                                   LedgerBeginResult, LedgerFinishResult>;

/**
 * State of a control group: the result of applying the replicated log. Deterministic: equal
 * commands in equal order give equal states, results and snapshots. Not thread-safe.
 */
class ControlState
{
public:
    explicit ControlState(ControlLimits limits = {});

    /** Applies the next command of the log. */
    CommandResult apply(const Command &command);

    /** Group time of the last command; raised by each command, never lowered. */
    GroupTime groupTime() const { return this->time; }

    /** Revision of the routing part: upstreams, routes, settings. 0: nothing yet. */
    Revision revision() const { return this->routingPart.revision(); }

    /** Revision of the last change that makes older plans invalid. */
    Revision placementRevision() const { return this->planPart.placementRevision(); }

    const RoutingState &routing() const { return this->routingPart; }
    const PlanBook &plans() const { return this->planPart; }
    const RequestLedger &ledger() const { return this->ledgerPart; }
    const ControlLimits &limits() const { return this->bounds; }

    /** Difference from @p since to the present; a complete table if @p since is too old or 0. */
    RouteDelta deltaSince(Revision since) const { return this->routingPart.deltaSince(since); }

    /** Returns the whole state as CBOR. */
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
    bool hasStarted(const ReleaseStart &move, PlanNumber plan) const;
    std::vector<RouteSubject> startedOf(const StartMove &body) const;
    void carryOut(const Plan &plan);

    ControlLimits bounds;
    GroupTime time = 0;
    RoutingState routingPart;
    PlanBook planPart;
    RequestLedger ledgerPart;
};

} // namespace cassiaroad
