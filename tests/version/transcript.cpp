#include "version/transcript.h"

#include <utility>

namespace cassiaroad {

namespace {

std::string text(const ReleaseStart &move)
{
    return " " + toString(move.subject) + "@" + std::to_string(move.epoch) + ">" + move.to;
}

std::string text(const OwnerChange &move)
{
    return " " + toString(move.subject) + "@" + std::to_string(move.epoch + 1) + ">" + move.to;
}

std::string text(const auto &moves)
{
    std::string line;
    for (const auto &move : moves) {
        line += text(move);
    }
    return line;
}

std::string describe(const RegisterUpstream &body)
{
    return "register " + body.upstream.id.name;
}

std::string describe(const ChangeUpstream &body)
{
    const char *states[] = { "up", "suspected", "lost" };
    return "change " + body.upstream.id.name + " " + states[static_cast<int>(body.state)];
}

std::string describe(const AssignShards &body)
{
    std::string line = "assign " + body.service;
    for (const ShardAssignment &assignment : body.shards) {
        line += " " + std::to_string(assignment.shard) + ">" + assignment.upstream;
    }
    return line;
}

std::string describe(const StartMove &body)
{
    const std::string reason = body.reason == MoveReason::Loss ? "loss" : "planned";
    return "start " + reason + " plan " + std::to_string(body.plan) + text(body.moves);
}

std::string describe(const CompleteMove &body)
{
    return "complete" + text(body.moves);
}

std::string describe(const CreatePlan &body)
{
    return "create plan: " + toString(body.plan.intent);
}

std::string describe(const Confirm &body)
{
    return "confirm plan " + std::to_string(body.plan) + " by " + body.id.who + " number "
           + std::to_string(body.id.number);
}

std::string describe(const MarkInForce &body)
{
    return "plan " + std::to_string(body.plan) + " is in force on "
           + std::to_string(body.report.hosts) + " of " + std::to_string(body.report.totalHosts);
}

std::string describe(const MarkCompleted &body)
{
    return "plan " + std::to_string(body.plan) + " is completed";
}

std::string describe(const auto &)
{
    return "other command";
}

} // namespace

Transcript::Transcript(OwnershipConfig config)
    : manager(this->controlState, std::move(config))
{
    this->handleEvent(LeadershipGained {});
}

void Transcript::addUpstream(const std::string &name, const std::string &zone)
{
    Host host;
    host.upstream
            = { { "orders", name }, zone, "127.0.0.1:9000", 6, 120, true, name + "-1", false };
    host.next = this->now;
    this->hosts[name] = std::move(host);
}

void Transcript::addEntry(const std::string &name)
{
    Host host;
    host.entry = { name, 1 };
    host.next = this->now;
    this->hosts[name] = std::move(host);
}

void Transcript::runFor(Milliseconds period)
{
    const TimePoint end = this->now + period;
    while (this->now < end) {
        this->now = this->now + Milliseconds { 10 };
        this->handleEvent(TimePassed { this->now.sinceOrigin });
        for (auto &[name, host] : this->hosts) {
            if (this->now < host.next) {
                continue;
            }
            if (host.entry.name.empty()) {
                this->announce(host);
            } else if (!host.waits) {
                this->watch(host);
            }
        }
    }
}

void Transcript::announce(Host &host)
{
    AnnounceRequested event;
    event.call = ++this->lastCall;
    event.upstream = host.upstream;
    event.heldGrants = host.grants.version;
    for (const Grant &grant : host.grants.grants) {
        if (grant.releasing) {
            event.released.push_back({ grant.subject, grant.epoch });
        }
    }
    host.next = this->now + Milliseconds { 150 };
    this->callers[event.call] = host.upstream.id.name;
    this->handleEvent(event);
}

void Transcript::watch(Host &host)
{
    WatchRequested event;
    event.call = ++this->lastCall;
    event.host = host.entry;
    event.seenRevision = host.revision;
    event.drainedRevision = host.revision;
    for (const auto &[name, failures] : this->reports) {
        event.health.push_back({ { "orders", name }, 10, failures, 0 });
    }
    host.waits = true;
    this->callers[event.call] = host.entry.name;
    this->handleEvent(event);
}

void Transcript::handleEvent(const OwnershipEvent &event)
{
    for (const OwnershipAction &action : this->manager.handle(event, this->now, true)) {
        std::visit([this](const auto &value) { this->onAction(value); }, action);
    }
}

void Transcript::onAction(const ProposeCommand &action)
{
    this->addLine(std::visit([](const auto &body) { return describe(body); }, action.command.body));
    const CommandResult result = this->controlState.apply(action.command);
    this->handleEvent(CommandCommitted { action.proposal, result });
}

void Transcript::onAction(const ReplyAnnounce &action)
{
    Host &host = this->hosts[this->callers[action.call]];
    if (!action.refused.empty()) {
        this->addLine(host.upstream.id.name + " is refused: " + action.refused);
        return;
    }
    if (action.unchanged || action.grants == host.grants) {
        return;
    }
    host.grants = action.grants;
    std::string line = host.upstream.id.name + " holds";
    for (const Grant &grant : host.grants.grants) {
        line += " " + toString(grant.subject) + "@" + std::to_string(grant.epoch)
                + (grant.releasing ? " (releasing)" : "");
    }
    for (const KeyRef &key : host.grants.movedAway) {
        line += " not " + key.key;
    }
    this->addLine(line);
}

void Transcript::onAction(const ReplyWatch &action)
{
    Host &host = this->hosts[this->callers[action.call]];
    host.waits = false;
    if (action.delta.toRevision != host.revision) {
        host.revision = action.delta.toRevision;
        this->addLine(host.entry.name + " has revision " + std::to_string(host.revision));
    }
}

void Transcript::onAction(const ReplyPlan &action)
{
    if (!action.refused.empty()) {
        this->addLine("refused: " + action.refused);
        return;
    }
    const Plan &plan = action.plan;
    this->addLine("plan " + std::to_string(plan.number) + " of " + plan.who + ": "
                  + toString(plan.intent) + ", because " + plan.why);
    for (const PlannedMove &move : plan.moves) {
        this->addLine("  " + toString(move.subject) + " " + move.from + ">" + move.to + ": "
                      + move.reason);
    }
    this->addLine("  keys: " + std::to_string(plan.keysMoved.keys) + ", " + plan.keysMoved.basis);
    for (const UnreachablePeriod &period : plan.unreachable) {
        this->addLine("  unreachable: " + period.what + ", "
                      + (period.untilReturn ? std::string("until it returns")
                                            : std::to_string(period.expected.count) + " ms"));
    }
}

void Transcript::onAction(const ReplyConfirm &action)
{
    const Confirmation &result = action.confirmation;
    const char *names[] = { "accepted", "conflict", "number reused", "unknown plan", "too many" };
    this->addLine("answer to " + result.id.who + " number " + std::to_string(result.id.number)
                  + ": " + names[static_cast<int>(result.status)] + ", " + result.detail
                  + ", in force on " + std::to_string(result.inForce.hosts) + " of "
                  + std::to_string(result.inForce.totalHosts));
}

void Transcript::onAction(const TransferLeadershipFromZone &action)
{
    this->addLine("leadership should leave zone " + action.zone);
}

void Transcript::addLine(const std::string &text)
{
    this->lines += std::to_string(this->now.sinceOrigin) + " " + text + "\n";
}

void Transcript::plan(const std::string &who, const std::string &why, const Intent &intent)
{
    this->handleEvent(PlanRequested { ++this->lastCall, who, why, intent });
}

void Transcript::confirm(const std::string &who, std::uint64_t number, PlanNumber plan)
{
    this->handleEvent(ConfirmRequested { ++this->lastCall, { who, number }, plan });
}

void Transcript::pause(const std::string &upstream, Milliseconds period)
{
    this->hosts[upstream].next = this->now + period;
}

void Transcript::leave(const std::string &upstream)
{
    this->hosts.erase(upstream);
}

void Transcript::drain(const std::string &upstream)
{
    this->hosts[upstream].upstream.draining = true;
}

void Transcript::report(const std::string &upstream, std::uint32_t failures)
{
    this->reports[upstream] = failures;
}

} // namespace cassiaroad
