#include "version/controlstate.h"

#include <algorithm>

namespace cassiaroad {

namespace {

/** Returns CommandApplied if a command changed the state, otherwise CommandIgnored. */
CommandResult outcome(bool done, const char *reason)
{
    if (done) {
        return CommandApplied {};
    }
    return CommandIgnored { reason };
}

std::string name(const UpstreamId &id)
{
    return id.service + "/" + id.name;
}

/** Returns why a change of an upstream invalidates older plans; empty: it does not. */
std::string causeOfChange(const UpstreamEntry &before, const ChangeUpstream &change)
{
    const std::string upstream = name(change.upstream.id);
    if (before.upstream.instance != change.upstream.instance) {
        return upstream + " restarted";
    }
    if (before.state != change.state && change.state == UpstreamState::Lost) {
        return upstream + " was lost";
    }
    if (before.state != change.state && change.state == UpstreamState::Suspected) {
        return upstream + " was suspected";
    }
    if (before.upstream.draining != change.upstream.draining) {
        return upstream + (change.upstream.draining ? " is draining" : " stopped draining");
    }
    return "";
}

} // namespace

ControlState::ControlState(ControlLimits limits)
    : controlLimits(limits)
{ }

CommandResult ControlState::apply(const Command &command)
{
    this->time = std::max(this->time, command.time);
    return std::visit([this, &command](const auto &body) { return this->applyBody(body, command); },
                      command.body);
}

CommandResult ControlState::applyBody(const RegisterUpstream &body, const Command &)
{
    return outcome(this->routingPart.registerUpstream(body.upstream, this->time),
                   "the upstream is already registered");
}

CommandResult ControlState::applyBody(const ChangeUpstream &body, const Command &)
{
    const UpstreamEntry *entry = this->routingPart.upstream(body.upstream.id);
    const std::string cause = entry == nullptr ? "" : causeOfChange(*entry, body);
    const bool done = this->routingPart.changeUpstream(body.upstream, body.state, this->time);
    if (done && !cause.empty()) {
        this->planPart.invalidatePlans(cause);
    }
    return outcome(done, "the upstream is unknown, unchanged or superseded");
}

CommandResult ControlState::applyBody(const RemoveUpstream &body, const Command &)
{
    return outcome(this->routingPart.removeUpstream(body.upstream),
                   "the upstream is unknown or in use");
}

CommandResult ControlState::applyBody(const AssignShards &body, const Command &)
{
    const bool done = this->routingPart.assign(body);
    if (done) {
        this->planPart.invalidatePlans("first assignment of " + body.service);
    }
    return outcome(done, "no shard was unassigned");
}

CommandResult ControlState::applyBody(const StartMove &body, const Command &)
{
    const bool done = this->routingPart.startMove(body, this->controlLimits.movedKeys);
    if (done && body.plan == 0) {
        const std::string service = serviceOf(body.moves.front().subject);
        this->planPart.invalidatePlans("automatic moves of " + service);
    }
    if (body.plan != 0) {
        this->planPart.markStarted(body.plan, this->startedSubjects(body), this->revision());
    }
    return outcome(done, "no shard or key has the expected owner and epoch");
}

bool ControlState::hasStarted(const ReleaseStart &move, PlanNumber plan) const
{
    const RouteEntry *entry = this->routingPart.route(move.subject);
    if (entry == nullptr) {
        // A key without a route of its own has the owner of its shard. If the table of moved keys
        // is full, the move is abandoned; otherwise the plan would retry it forever.
        const RouteEntry *shardRoute
                = this->routingPart.route(ShardRef { serviceOf(move.subject), move.shard });
        const bool isTableFull = this->routingPart.keys().size() >= this->controlLimits.movedKeys;
        return isTableFull || (shardRoute != nullptr && shardRoute->route.upstream == move.to);
    }
    const bool isReleasing = entry->route.state == RouteState::Releasing
                             && (entry->plan == plan || entry->route.reason == MoveReason::Loss);
    const bool isAtTarget
            = entry->route.state == RouteState::Owned && entry->route.upstream == move.to;
    return isReleasing || isAtTarget;
}

std::vector<RouteSubject> ControlState::startedSubjects(const StartMove &body) const
{
    std::vector<RouteSubject> started;
    for (const ReleaseStart &move : body.moves) {
        if (this->hasStarted(move, body.plan)) {
            started.push_back(move.subject);
        }
    }
    return started;
}

CommandResult ControlState::applyBody(const CompleteMove &body, const Command &)
{
    const bool retargeted = std::any_of(
            body.moves.begin(), body.moves.end(), [this](const OwnerChange &move) {
                const RouteEntry *entry = this->routingPart.route(move.subject);
                return entry != nullptr && entry->route.epoch == move.epoch && entry->to != move.to;
            });
    const bool done = this->routingPart.completeMove(body);
    if (done && retargeted) {
        this->planPart.invalidatePlans("a move was completed to another upstream");
    }
    return outcome(done, "no shard or key is releasing at the expected epoch");
}

CommandResult ControlState::applyBody(const CreatePlan &body, const Command &command)
{
    return this->planPart.create(body.plan, this->time, command.wallTime);
}

CommandResult ControlState::applyBody(const Confirm &body, const Command &command)
{
    bool isNew = false;
    Confirmation result = this->planPart.confirm(body, this->time, command.wallTime, isNew);
    if (isNew) {
        this->applyIntent(this->planPart.find(body.plan)->plan);
        this->planPart.markStarted(body.plan, {}, this->revision());
    }
    return result;
}

CommandResult ControlState::applyBody(const MarkInForce &body, const Command &command)
{
    return outcome(this->planPart.markInForce(body, this->time, command.wallTime),
                   "the plan is not confirmed or already in force");
}

CommandResult ControlState::applyBody(const MarkCompleted &body, const Command &command)
{
    return outcome(this->planPart.markCompleted(body.plan, this->time, command.wallTime),
                   "the plan is not in force or already completed");
}

CommandResult ControlState::applyBody(const LedgerBegin &body, const Command &)
{
    this->ledgerPart.expire(this->time, this->controlLimits.ledgerRetention);
    return this->ledgerPart.begin(body.key, body.digest, body.host, this->time,
                                  this->controlLimits.ledgerRecordLimit, body.run);
}

CommandResult ControlState::applyBody(const LedgerFinish &body, const Command &)
{
    return this->ledgerPart.finish(body.key, body.ticket, body.outcome);
}

CommandResult ControlState::applyBody(const LedgerAbandon &body, const Command &)
{
    return outcome(this->ledgerPart.abandon(body.host) > 0, "no request of the host is in flight");
}

CommandResult ControlState::applyBody(const ExpireRecords &, const Command &)
{
    const bool recordsExpired
            = this->ledgerPart.expire(this->time, this->controlLimits.ledgerRetention) > 0;
    const bool plansExpired = this->planPart.expire(this->time);
    return outcome(recordsExpired || plansExpired, "nothing is old enough");
}

void ControlState::applyIntent(const Plan &plan)
{
    if (const auto *drain = std::get_if<DrainUpstream>(&plan.intent)) {
        this->routingPart.setDrained(drain->upstream, true, this->time);
    } else if (const auto *back = std::get_if<ReturnUpstream>(&plan.intent)) {
        this->routingPart.setDrained(back->upstream, false, this->time);
    } else if (const auto *out = std::get_if<ZoneOut>(&plan.intent)) {
        this->routingPart.setZoneOut(out->zone, true);
    } else if (const auto *in = std::get_if<ZoneIn>(&plan.intent)) {
        this->routingPart.setZoneOut(in->zone, false);
    } else if (const auto *set = std::get_if<SetSetting>(&plan.intent)) {
        this->routingPart.setOverride(set->name, set->value);
    }
}

bool ControlState::operator==(const ControlState &other) const
{
    return this->snapshot() == other.snapshot();
}

} // namespace cassiaroad
