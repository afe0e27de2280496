#include "version/plansupervisor.h"

#include "version/planner.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds transferInterval { 1000 };
constexpr int longestWaitInLeases = 3; // one for lapsing entry hosts, two for moves to start

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
    this->waiting.clear();
    this->expectedHosts.clear();
    this->lastTransfer = this->context.now;
}

void PlanSupervisor::planRequested(const PlanRequested &event)
{
    const Planner planner(this->context.state, this->context.loads, this->context.config);
    PlanResult result = planner.plan(event.intent, event.who, event.why);
    if (const auto *refused = std::get_if<IntentRefused>(&result)) {
        this->context.actions.emplace_back(ReplyPlan { event.call, refused->reason, {} });
        return;
    }
    this->context.propose(CreatePlan { std::get<Plan>(std::move(result)) }, {}, event.call);
}

void PlanSupervisor::confirmRequested(const ConfirmRequested &event)
{
    const Confirmation *kept = this->context.state.plans().result(event.id);
    if (kept != nullptr && kept->plan == event.plan) {
        this->confirmed(event.call, *kept);
        return;
    }
    this->context.propose(Confirm { event.id, event.plan }, {}, event.call);
}

void PlanSupervisor::confirmed(CallId call, const Confirmation &result)
{
    if (result.status == ConfirmStatus::Accepted && result.inForce.revision == 0) {
        this->waiting.push_back({ call, result.id, this->context.now });
        return;
    }
    this->context.actions.emplace_back(ReplyConfirm { call, result });
}

void PlanSupervisor::step()
{
    const PlanBook &plans = this->context.state.plans();
    std::erase_if(this->expectedHosts, [&plans](const auto &item) {
        const PlanEntry *entry = plans.find(item.first);
        return entry == nullptr || entry->state != PlanState::Confirmed;
    });
    for (const PlanNumber number : plans.active()) {
        this->supervise(*plans.find(number));
    }
    this->answerWaiting();
    this->transferLeadership();
}

void PlanSupervisor::answerWaiting()
{
    const Milliseconds bound = this->context.config.entryLease * longestWaitInLeases;
    std::erase_if(this->waiting, [&](const Waiting &item) {
        const Confirmation *kept = this->context.state.plans().result(item.id);
        if (kept == nullptr) {
            this->context.actions.emplace_back(
                    ReplyFailed { item.call, "the result is no longer kept" });
            return true;
        }
        const bool late = this->context.now - item.since >= bound;
        if (kept->inForce.revision == 0 && !late) {
            return false;
        }
        ReplyConfirm reply { item.call, *kept };
        if (kept->inForce.revision == 0) {
            reply.confirmation.detail = "accepted; not yet in force on every entry host";
        }
        this->context.actions.emplace_back(std::move(reply));
        return true;
    });
}

void PlanSupervisor::supervise(const PlanEntry &entry)
{
    const PlanNumber number = entry.plan.number;
    if (this->context.proposals.inFlight(planSubject(number))) {
        return;
    }
    if (entry.state == PlanState::Confirmed) {
        std::set<EntryHostId> &expected = this->expectedHosts[number];
        for (const EntryHostId &host : this->context.leases.liveEntries(this->context.now)) {
            expected.insert(host);
        }
        const bool known = this->context.leases.hasTakeoverDelayPassed(this->context.now);
        if (known && entry.remaining.empty()
            && this->context.leases.haveAllSeen(entry.startedRevision, this->context.now)) {
            this->markInForce(entry);
        }
    } else if (entry.remaining.empty() && this->movesComplete(number)) {
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

bool PlanSupervisor::movesComplete(PlanNumber plan) const
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
    if (!this->waiting.empty() || !this->context.state.routing().isZoneOut(zone)
        || this->context.now - this->lastTransfer < transferInterval) {
        return;
    }
    this->lastTransfer = this->context.now;
    this->context.actions.emplace_back(TransferLeadershipFromZone { zone });
}

std::vector<CallId> PlanSupervisor::waitingCalls() const
{
    std::vector<CallId> calls;
    for (const Waiting &item : this->waiting) {
        calls.push_back(item.call);
    }
    return calls;
}

} // namespace cassiaroad
