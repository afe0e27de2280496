#include "cassiaroad/controlengine.h"

#include "process/log.h"

#include <algorithm>

namespace cassiaroad {

namespace {

const Log controlLog("control");

constexpr Milliseconds tickInterval { 20 }; // the manager expects TimePassed at least this often

ControlLimits controlLimits(const Settings &settings)
{
    return { settings.limits.movedKeys, settings.limits.ledgerRecordLimit,
             settings.limits.ledgerRetention };
}

OwnershipConfig ownershipConfig(const Settings &settings)
{
    OwnershipConfig config;
    config.zone = settings.zone;
    config.regionCount = static_cast<std::uint32_t>(settings.regions.size());
    for (std::uint32_t i = 0; i < config.regionCount; ++i) {
        if (settings.regions[i].name == settings.group) {
            config.regionIndex = i;
        }
    }
    for (const ServiceSettings &service : settings.services) {
        config.services.push_back({ service.name, service.shards });
    }
    config.upstreamLease = settings.timing.upstreamLease;
    config.entryLease = settings.timing.entryLease;
    config.announceInterval = settings.timing.announceInterval;
    config.watchTimeout = settings.timing.watchTimeout;
    config.initialAssignmentDelay = settings.timing.initialAssignmentDelay;
    config.ejectPercent = settings.limits.ejectPercent;
    config.imbalanceWeight = settings.placement.imbalanceWeight;
    config.churnWeight = settings.placement.churnWeight;
    config.unavailabilityWeight = settings.placement.unavailabilityWeight;
    return config;
}

} // namespace

/** A call that waits for its reply; removed from the engine when its promise is dropped. */
class ControlEngine::PendingCall
{
public:
    PendingCall(kj::PromiseFulfiller<OwnershipAction> &fulfiller, ControlEngine &engine,
                const MakeEvent &makeEvent)
        : fulfiller(fulfiller)
        , engine(engine)
        , call(++engine.lastCall)
    {
        engine.calls.emplace(this->call, this);
        engine.dispatch(makeEvent(this->call));
    }

    ~PendingCall() { this->engine.calls.erase(this->call); }
    PendingCall(const PendingCall &) = delete;
    PendingCall &operator=(const PendingCall &) = delete;

    void reply(OwnershipAction action) { this->fulfiller.fulfill(std::move(action)); }

private:
    kj::PromiseFulfiller<OwnershipAction> &fulfiller;
    ControlEngine &engine;
    CallId call;
};

ControlEngine::ControlEngine(EventLoop &loop, const Settings &settings, Metrics &metrics,
                             std::function<void(const std::string &reason)> failed)
    : loop(loop)
    , settings(settings)
    , metrics(metrics)
    , limits(controlLimits(settings))
    , controlState(this->limits)
    , ownership(this->controlState, ownershipConfig(settings))
    , driver(loop, settings, metrics,
             { [this](const auto &snapshot) { this->restore(snapshot); },
               [this](const std::string &command, std::uint64_t proposal) {
                   this->apply(command, proposal);
               },
               [this](std::uint64_t proposal) { this->dispatch(ProposalFailed { proposal }); },
               [this] { this->checkLeadership(); },
               [this] { return this->controlState.snapshot(); },
               {},
               std::move(failed) })
{ }

std::string ControlEngine::start(bool bootstrap)
{
    std::string reason = this->driver.start(bootstrap);
    if (reason.empty()) {
        this->tickTimer = this->loop.callEvery(
                tickInterval, [this] { this->dispatch(TimePassed { Clock::wallMilliseconds() }); });
    }
    return reason;
}

kj::Promise<OwnershipAction> ControlEngine::call(MakeEvent makeEvent)
{
    return kj::newAdaptedPromise<OwnershipAction, PendingCall>(*this, makeEvent)
            .then([this](OwnershipAction &&action) -> OwnershipAction {
                if (!this->canAnswer()) {
                    return ReplyNotLeader {};
                }
                return kj::mv(action);
            });
}

void ControlEngine::stepDown()
{
    if (this->driver.isLeading()) {
        this->driver.transferLeadership(std::nullopt);
    }
}

const MemberSettings *ControlEngine::leader() const
{
    const std::optional<std::uint32_t> number = this->driver.leader();
    const auto found = std::find_if(
            this->settings.members.begin(), this->settings.members.end(),
            [&number](const MemberSettings &member) { return member.number == number; });
    return found == this->settings.members.end() ? nullptr : &*found;
}

void ControlEngine::restore(const std::optional<Snapshot> &snapshot)
{
    if (!snapshot) {
        this->controlState = ControlState(this->limits);
        return;
    }
    std::optional<ControlState> restored = ControlState::restore(*snapshot->data, this->limits);
    KJ_REQUIRE(restored.has_value(), "snapshot with a valid checksum cannot be decoded");
    this->controlState = std::move(*restored);
}

void ControlEngine::apply(const std::string &bytes, std::uint64_t proposal)
{
    const std::optional<Command> command = decodeCommand(bytes);
    if (!command) {
        controlLog.error("skips a command of the log that cannot be decoded");
        return;
    }
    const CommandResult result = this->controlState.apply(*command);
    this->dispatch(CommandCommitted { proposal, result });
}

// Reports to the manager that leadership was gained or lost since the last call.
void ControlEngine::checkLeadership()
{
    const bool isLeader = this->driver.isLeading();
    const Term term = isLeader ? this->driver.replica()->term() : 0;
    if (this->leading && (!isLeader || term != this->leadingTerm)) {
        this->leading = false;
        controlLog.info("is no longer leader of group " + this->settings.group);
        this->dispatch(LeadershipLost {});
    }
    if (isLeader && !this->leading) {
        this->leading = true;
        this->leadingTerm = term;
        controlLog.info("is leader of group " + this->settings.group + " in term "
                        + std::to_string(term));
        this->dispatch(LeadershipGained {});
    }
}

void ControlEngine::dispatch(const OwnershipEvent &event)
{
    for (OwnershipAction &action :
         this->ownership.handle(event, this->loop.now(), this->canAnswer())) {
        this->perform(std::move(action));
    }
}

void ControlEngine::perform(OwnershipAction action)
{
    if (auto *propose = std::get_if<ProposeCommand>(&action)) {
        this->driver.propose(propose->proposal, encodeCommand(propose->command));
    } else if (const auto *transfer = std::get_if<TransferLeadershipFromZone>(&action)) {
        this->transferLeadershipFromZone(transfer->zone);
    } else {
        const CallId call = std::visit(
                [](const auto &value) -> CallId {
                    if constexpr (requires { value.call; }) {
                        return value.call;
                    }
                    return 0;
                },
                action);
        this->reply(call, std::move(action));
    }
}

void ControlEngine::reply(CallId call, OwnershipAction action)
{
    const auto found = this->calls.find(call);
    if (found != this->calls.end()) {
        found->second->reply(std::move(action));
    }
}

void ControlEngine::transferLeadershipFromZone(const std::string &zone)
{
    for (const MemberSettings &member : this->settings.members) {
        if (member.zone != zone && member.region == this->settings.group) {
            this->driver.transferLeadership(member.number);
            return;
        }
    }
}

void ControlEngine::updateMetrics()
{
    const Replica *replica = this->driver.replica();
    const auto set = [this](const char *name, const char *help, auto value) {
        this->metrics.gauge(name, help).Set(static_cast<double>(value));
    };
    set("cassiaroad_control_leader", "1 while this member leads with a valid lease.",
        this->canAnswer() ? 1 : 0);
    set("cassiaroad_control_term", "Term of the replicated log.",
        replica == nullptr ? 0 : replica->term());
    set("cassiaroad_control_commit_index", "Last committed entry of the log.",
        replica == nullptr ? 0 : replica->commitIndex());
    set("cassiaroad_control_revision", "Revision of the routing state.",
        this->controlState.revision());
    set("cassiaroad_control_ledger_records", "Records of keyed requests.",
        this->controlState.ledger().size());
    set("cassiaroad_control_entry_hosts", "Entry hosts with a live lease; leader only.",
        this->ownership.entryHosts(this->loop.now()).size());
    set("cassiaroad_control_peer_sent_bytes", "Bytes sent to other members.",
        this->driver.link().bytes().sent);
    set("cassiaroad_control_peer_received_bytes", "Bytes received as replies of other members.",
        this->driver.link().bytes().received);
    set("cassiaroad_control_peer_dropped_messages", "Messages dropped because a buffer was full.",
        this->driver.link().droppedCount());
}

} // namespace cassiaroad
