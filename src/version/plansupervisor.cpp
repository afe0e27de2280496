#include "version/plansupervisor.h"

#include "version/planner.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds transferInterval { 1000 }; // between requests to transfer leadership

// Upper bound of the wait for a plan to be in force, in entry leases: one until the leases of
// unavailable entry hosts expire, and two until the moves have started.
constexpr int maxWaitInLeases = 3;

std::string planSubject(PlanNumber plan)
{
    return "plan " + std::to_string(plan);
}

} // namespace

PlanSupervisor::PlanSupervisor(LeaderContext &leaderContext)
    : context(leaderContext)
{ }

void PlanSupervisor::reset()
{
    this->waitingConfirmations.clear();
    this->expectedHosts.clear();
    this->lastTransfer = this->context.now;
}

void PlanSupervisor::onPlanRequested(const PlanRequested &event)
{
    const Planner planner(this->context.state, this->context.loads, this->context.config);
    PlanResult result = planner.plan(event.intent, event.who, event.why);
    if (const auto *refused = std::get_if<IntentRefused>(&result)) {
        this->context.actions.emplace_back(ReplyPlan { event.call, refused->reason, {} });
        return;
    }
    this->context.propose(CreatePlan { std::get<Plan>(std::move(result)) }, {}, event.call);
}

void PlanSupervisor::onConfirmRequested(const ConfirmRequested &event)
{
    const Confirmation *stored = this->context.state.plans().result(event.id);
    if (stored != nullptr && stored->plan == event.plan) {
        this->onConfirmCommitted(event.call, *stored);
        return;
    }
    this->context.propose(Confirm { event.id, event.plan }, {}, event.call);
}

void PlanSupervisor::onConfirmCommitted(CallId call, const Confirmation &result)
{
    if (result.status == ConfirmStatus::Accepted && result.inForce.revision == 0) {
        this->waitingConfirmations.push_back({ call, result.id, this->context.now });
        return;
    }
    this->context.actions.emplace_back(ReplyConfirm { call, result });
}

void PlanSupervisor::step()
{
    const PlanStore &plans = this->context.state.plans();
    std::erase_if(this->expectedHosts, [&plans](const auto &item) {
        const PlanEntry *entry = plans.find(item.first);
        return entry == nullptr || entry->state != PlanState::Confirmed;
    });
    for (const PlanNumber number : plans.active()) {
        this->supervise(*plans.find(number));
    }
    this->answerWaitingConfirmations();
    this->transferLeadership();
}

void PlanSupervisor::answerWaitingConfirmations()
{
    const Milliseconds timeout = this->context.config.entryLease * maxWaitInLeases;
    std::erase_if(this->waitingConfirmations, [&](const WaitingConfirmation &item) {
        const Confirmation *stored = this->context.state.plans().result(item.id);
        if (stored == nullptr) {
            this->context.actions.emplace_back(
                    ReplyFailed { item.call, "the result is no longer kept" });
            return true;
        }
        const bool late = this->context.now - item.since >= timeout;
        if (stored->inForce.revision == 0 && !late) {
            return false;
        }
        ReplyConfirm reply { item.call, *stored };
        if (stored->inForce.revision == 0) {
            reply.confirmation.detail = "accepted; not yet in force on every entry host";
        }
        this->context.actions.emplace_back(std::move(reply));
        return true;
    });
}

void PlanSupervisor::supervise(const PlanEntry &entry)
{
    const PlanNumber number = entry.plan.number;
    if (this->context.proposals.isInFlight(planSubject(number))) {
        return;
    }
    if (entry.state == PlanState::Confirmed) {
        std::set<EntryHostId> &expected = this->expectedHosts[number];
        for (const EntryHostId &host : this->context.leases.liveEntries(this->context.now)) {
            expected.insert(host);
        }
        // After the takeover wait, every entry host with a valid lease is in the lease table.
        const bool known = this->context.leases.hasTakeoverDelayPassed(this->context.now);
        if (known && entry.remaining.empty()
            && this->context.leases.haveAllSeen(entry.startedRevision, this->context.now)) {
            this->markInForce(entry);
        }
    } else if (entry.remaining.empty() && this->hasCompletedMoves(number)) {
        this->context.propose(MarkCompleted { number }, { planSubject(number) });
    }
}

void PlanSupervisor::markInForce(const PlanEntry &entry)
{
    const std::vector<EntryHostId> live = this->context.leases.liveEntries(this->context.now);
    InForceReport report;
    report.revision = std::max<Revision>(1, entry.startedRevision);
    report.hosts = static_cast<std::uint32_t>(live.size());
    for (const EntryHostId &host : this->expectedHosts[entry.plan.number]) {
        const bool replaced = std::any_of(live.begin(), live.end(), [&host](const auto &other) {
            return other.name == host.name;
        });
        if (!replaced) {
            report.missing.push_back(host.name);
        }
    }
    report.totalHosts = report.hosts + static_cast<std::uint32_t>(report.missing.size());
    this->context.propose(MarkInForce { entry.plan.number, std::move(report) },
                          { planSubject(entry.plan.number) });
}

bool PlanSupervisor::hasCompletedMoves(PlanNumber plan) const
{
    const RoutingState &routing = this->context.state.routing();
    return std::none_of(routing.releasing().begin(), routing.releasing().end(),
                        [&routing, plan](const RouteSubject &subject) {
                            return routing.route(subject)->plan == plan;
                        });
}

void PlanSupervisor::transferLeadership()
{
    const std::string &zone = this->context.config.zone;
    if (!this->waitingConfirmations.empty() || !this->context.state.routing().isZoneOut(zone)
        || this->context.now - this->lastTransfer < transferInterval) {
        return;
    }
    this->lastTransfer = this->context.now;
    this->context.actions.emplace_back(TransferLeadershipFromZone { zone });
}

std::vector<CallId> PlanSupervisor::waitingCalls() const
{
    std::vector<CallId> calls;
    for (const WaitingConfirmation &item : this->waitingConfirmations) {
        calls.push_back(item.call);
    }
    return calls;
}

} // namespace cassiaroad
