#include "version/ownershipmanager.h"

#include "version/entrysupervisor.h"
#include "version/leadercontext.h"
#include "version/movesupervisor.h"
#include "version/plansupervisor.h"
#include "version/upstreamsupervisor.h"

#include <optional>
#include <utility>

namespace cassiaroad {

namespace {

constexpr Milliseconds expireInterval { 60000 }; // between proposals of ExpireRecords
const std::string expireSubject = "expire";

/** Returns the call whose caller waits for a reply to @p event; 0: none. */
template <typename Event>
CallId callOf(const Event &event)
{
    if constexpr (requires { event.call; }) {
        return event.call;
    }
    return 0;
}

} // namespace

struct OwnershipManager::Private
{
    Private(const ControlState &state, OwnershipConfig config)
        : context(state, std::move(config))
        , upstreams(context)
        , entries(context)
        , moves(context, upstreams)
        , plans(context)
    { }

    void on(const LeadershipGained &event);
    void on(const LeadershipLost &event);
    void on(const TimePassed &event);
    void on(const WatchRequested &event) { this->entries.onWatchRequested(event); }
    void on(const AnnounceRequested &event) { this->upstreams.onAnnounceRequested(event); }
    void on(const BeginRequested &event);
    void on(const FinishRequested &event);
    void on(const PlanRequested &event) { this->plans.onPlanRequested(event); }
    void on(const ConfirmRequested &event) { this->plans.onConfirmRequested(event); }
    void on(const CommandCommitted &event);
    void on(const ProposalFailed &event);

    void dispatch(const OwnershipEvent &event, bool hasLeaderLease);

    /** Replies to the call that waited for a command, with the result of the command. */
    void answerCommitted(CallId call, const CommandResult &result);
    void step();

    /** Replies ReplyNotLeader to waiting calls and resets what a leader has in memory. */
    void resetLeaderState();
    void proposeExpiry();

    LeaderContext context;
    UpstreamSupervisor upstreams;
    EntrySupervisor entries;
    MoveSupervisor moves;
    PlanSupervisor plans;
    bool isLeader = false;
    std::optional<Revision> lastStepRevision; // routing revision of the last step
    TimePoint lastExpiry; // when ExpireRecords was last proposed
};

OwnershipManager::OwnershipManager(const ControlState &state, OwnershipConfig config)
    : d(std::make_unique<Private>(state, std::move(config)))
{ }

OwnershipManager::~OwnershipManager() = default;

std::vector<OwnershipAction> OwnershipManager::handle(const OwnershipEvent &event, TimePoint now,
                                                      bool hasLeaderLease)
{
    this->d->context.now = now;
    if (this->d->isLeader) {
        this->d->moves.updateLeaseExpiries();
    }
    this->d->dispatch(event, hasLeaderLease);
    const bool isTimeEvent = std::holds_alternative<TimePassed>(event);
    const bool changed = this->d->lastStepRevision != this->d->context.state.revision();
    if (this->d->isLeader && hasLeaderLease && (isTimeEvent || changed)) {
        this->d->step();
    }
    return std::exchange(this->d->context.actions, {});
}

bool OwnershipManager::canCompleteMoves(TimePoint now) const
{
    return this->d->isLeader && this->d->context.leases.hasTakeoverDelayPassed(now);
}

std::vector<EntryHostStatus> OwnershipManager::entryHosts(TimePoint now) const
{
    std::vector<EntryHostStatus> hosts;
    for (const auto &[host, lease] : this->d->context.leases.all()) {
        if (now < lease.until) {
            hosts.push_back({ host, lease.zone, lease.seenRevision, lease.drainedRevision });
        }
    }
    return hosts;
}

void OwnershipManager::Private::dispatch(const OwnershipEvent &event, bool hasLeaderLease)
{
    std::visit(
            [this, hasLeaderLease](const auto &value) {
                const CallId call = callOf(value);
                if (call != 0 && !(this->isLeader && hasLeaderLease)) {
                    this->context.actions.emplace_back(ReplyNotLeader { call });
                    return;
                }
                this->on(value);
            },
            event);
}

void OwnershipManager::Private::on(const LeadershipGained &)
{
    this->resetLeaderState();
    this->isLeader = true;
    this->context.leases.reset(this->context.now);
    this->context.health.reset();
    this->context.loads.reset(this->context.now);
    this->lastExpiry = this->context.now;
    this->moves.updateLeaseExpiries();
}

void OwnershipManager::Private::on(const LeadershipLost &)
{
    this->resetLeaderState();
    this->isLeader = false;
}

void OwnershipManager::Private::resetLeaderState()
{
    for (const auto &calls : { this->context.proposals.waitingCalls(), this->plans.waitingCalls(),
                               this->entries.waitingCalls() }) {
        for (const CallId call : calls) {
            this->context.actions.emplace_back(ReplyNotLeader { call });
        }
    }
    this->context.proposals.reset(this->context.state.groupTime(), this->context.now);
    this->upstreams.reset();
    this->entries.reset();
    this->moves.reset();
    this->plans.reset();
    this->lastStepRevision.reset();
}

void OwnershipManager::Private::on(const TimePassed &event)
{
    this->context.proposals.setWallTime(event.wallTime, this->context.now);
    this->context.loads.advance(this->context.now);
}

void OwnershipManager::Private::on(const BeginRequested &event)
{
    const LedgerBegin &request = event.request;
    const bool hostHasNoLease
            = this->context.leases.hasTakeoverDelayPassed(this->context.now)
              && !this->context.leases.isEntryLive(request.host, this->context.now);
    if (hostHasNoLease) {
        this->context.actions.emplace_back(
                ReplyFailed { event.call, "the entry host has no lease" });
        return;
    }
    const LedgerRecord *record = this->context.state.ledger().find(request.key);
    const GroupTime age
            = record == nullptr ? 0 : this->context.state.groupTime() - record->startedAt;
    const bool canAnswerFromLedger
            = record != nullptr && record->digest == request.digest
              && age < this->context.state.limits().ledgerRetention.count
              && !RequestLedger::isSameRun(*record, request.host, request.run);
    if (canAnswerFromLedger) {
        LedgerBeginResult result = std::visit(
                [](const auto &value) -> LedgerBeginResult { return value; }, record->state);
        this->context.actions.emplace_back(ReplyBegin { event.call, std::move(result) });
        return;
    }
    this->context.propose(request, {}, event.call);
}

void OwnershipManager::Private::on(const FinishRequested &event)
{
    this->context.propose(event.request, {}, event.call);
}

void OwnershipManager::Private::on(const CommandCommitted &event)
{
    const std::optional<PendingProposal> proposal = this->context.proposals.take(event.proposal);
    if (proposal && proposal->call != 0) {
        this->answerCommitted(proposal->call, event.result);
    }
    if (std::holds_alternative<CommandIgnored>(event.result)) {
        this->moves.requestRescan();
    }
}

void OwnershipManager::Private::answerCommitted(CallId call, const CommandResult &result)
{
    if (const auto *begin = std::get_if<LedgerBeginResult>(&result)) {
        this->context.actions.emplace_back(ReplyBegin { call, *begin });
    } else if (const auto *finish = std::get_if<LedgerFinishResult>(&result)) {
        this->context.actions.emplace_back(ReplyFinish { call, *finish });
    } else if (const auto *plan = std::get_if<Plan>(&result)) {
        this->context.actions.emplace_back(ReplyPlan { call, "", *plan });
    } else if (const auto *confirmation = std::get_if<Confirmation>(&result)) {
        this->plans.onConfirmCommitted(call, *confirmation);
    } else {
        this->context.actions.emplace_back(ReplyFailed { call, "the command was ignored" });
    }
}

void OwnershipManager::Private::on(const ProposalFailed &event)
{
    const std::optional<PendingProposal> proposal = this->context.proposals.take(event.proposal);
    if (proposal && proposal->call != 0) {
        this->context.actions.emplace_back(
                ReplyFailed { proposal->call, "the log did not accept the change" });
    }
    this->moves.requestRescan();
}

void OwnershipManager::Private::step()
{
    this->lastStepRevision = this->context.state.revision();
    this->upstreams.step();
    this->moves.step();
    this->plans.step();
    this->entries.step();
    this->proposeExpiry();
}

void OwnershipManager::Private::proposeExpiry()
{
    const bool hasRecords = this->context.state.ledger().size() > 0
                            || this->context.state.plans().placementRevision() > 1;
    if (!hasRecords || this->context.now - this->lastExpiry < expireInterval
        || this->context.proposals.isInFlight(expireSubject)) {
        return;
    }
    this->lastExpiry = this->context.now;
    this->context.propose(ExpireRecords {}, { expireSubject });
}

} // namespace cassiaroad
