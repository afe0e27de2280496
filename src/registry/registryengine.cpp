#include "registry/registryengine.h"

#include "connection/rpcdelay.h"
#include "process/textpack.h"
#include "registry/commandlog.h"
#include "registry/leasecalllog.h"
#include "version/evacuationorder.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

constexpr Milliseconds tickInterval { 50 };
// How long a call waits for the confirmation of the leader's lease. Upstreams and operators try
// another host after a second.
constexpr Milliseconds maxLeaseWait { 400 };
constexpr Milliseconds watchLoadInterval { 1000 };

// Returns the lease duration on the clock of an upstream. It allows for two lost heartbeats and for
// the election of a new leader, which may take a second.
Milliseconds leaseDurationOf(const SiteSettings &settings)
{
    const Milliseconds wanted = settings.heartbeatInterval * 2 + Milliseconds { 1500 };
    return std::min(wanted, settings.bounds.maxLeaseDuration);
}

// Returns the lease duration on the clock of the leader. The upstream's clock may run 2% slow, and
// the response may be written some time after it was made.
Milliseconds leaseDurationOnLeaderClock(Milliseconds leaseDuration)
{
    constexpr Milliseconds margin { 250 };
    return leaseDuration + leaseDuration / 50 + margin;
}

// The part of the drain period in which the leader no longer lists a leaving upstream as the owner
// of keys: time until all gateways have the routing table and their last requests have arrived.
constexpr Milliseconds drainMargin { 1000 };

RegistryTiming timingOf(const SiteSettings &settings)
{
    RegistryTiming timing;
    timing.leases.leaseDuration = leaseDurationOf(settings);
    timing.leases.leaseDurationOnLeaderClock
            = leaseDurationOnLeaderClock(timing.leases.leaseDuration);
    timing.ranges.heartbeatInterval = settings.heartbeatInterval;
    timing.ranges.leavingGracePeriod
            = std::max(settings.bounds.drainPeriod - drainMargin, Milliseconds {});
    // The lease on the number begins with the reply to a report.
    timing.gatewayTimeout = GatewayUpdates::maxWatchTimeout + maxLeaseWait + gatewayCountLease
                            + settings.bounds.retryWindow;
    timing.cold = { settings.bounds.coldOver, settings.bounds.coldSlack };
    return timing;
}

} // namespace

RegistryEngine::RegistryEngine(EventLoop &loop, const SiteSettings &settings,
                               const ExternalCodec &codec, Metrics &metrics, EventLog &log,
                               std::function<void(const std::string &reason)> failed)
    : loop(loop)
    , settings(settings)
    , codec(codec)
    , log(log)
    , heartbeatCount(metrics.counter("cassiaroad_registry_heartbeats_total",
                                     "Heartbeats of upstreams that this host took as leader."))
    , transferCount(metrics.counter("cassiaroad_registry_transfers_total",
                                    "Key ranges that changed their owner."))
    , putCount(metrics.counter("cassiaroad_registry_configurations_total",
                               "Configurations that were put in force."))
    , askedPermits(metrics.counter("cassiaroad_registry_permits_total",
                                   "Permits for requests to cold upstreams that gateways have "
                                   "asked for, and those that were granted.",
                                   { { "state", "asked" } }))
    , grantedPermits(metrics.counter("cassiaroad_registry_permits_total",
                                     "Permits for requests to cold upstreams that gateways have "
                                     "asked for, and those that were granted.",
                                     { { "state", "granted" } }))
    , evacuatedZones(metrics.gauge("cassiaroad_registry_evacuated_zones",
                                   "Availability zones whose upstreams get no work."))
    , manager(this->state, timingOf(settings))
    , updates(loop, this->state, this->manager)
    , leaseCaller(
              loop, codec, [this] { return this->canAnswer(); },
              [this](const LeaseCall &call, const LeaseCallResult &result) {
                  this->onLeaseCallEnded(call, result);
              })
    , group(loop, settings, metrics, log,
            { [this](const std::optional<Snapshot> &snapshot) { this->restore(snapshot); },
              [this](const std::string &command, std::uint64_t proposal) {
                  this->apply(command, proposal);
              },
              [this](std::uint64_t proposal) {
                  this->endProposal(proposal, false, PutOutcome::Conflict);
              },
              [this] {
                  this->checkLeadership();
                  this->runLeaseWaits();
              },
              [this] { return this->state.encode(); },
              {},
              std::move(failed) })
{
    this->manager.setRegions(settings.regions);
}

std::string RegistryEngine::start()
{
    this->watchLoadTimer
            = this->loop.callEvery(watchLoadInterval, [this] { this->logWatchLoad(); });
    this->tickTimer = this->loop.callEvery(tickInterval, [this] { this->tick(); });
    return this->group.start();
}

void RegistryEngine::restore(const std::optional<Snapshot> &snapshot)
{
    this->state = RegistryState();
    if (snapshot) {
        auto decoded = RegistryState::decode(*snapshot->data);
        if (!decoded) {
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "the snapshot cannot be decoded"));
        }
        this->state = std::move(*decoded);
    }
    this->updateEvacuatedZones();
    this->updates.restore();
    this->group.setMembers(this->state.orderedMembers());
    this->log.write({ "state_restored",
                      Event::Weight::Always,
                      { { "snapshot", std::int64_t(snapshot ? snapshot->meta.index : 0) },
                        { "version", std::int64_t(this->state.version()) },
                        { "members", std::int64_t(this->state.members().size()) } } });
}

void RegistryEngine::apply(const std::string &bytes, std::uint64_t proposal)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::Commands);
    const std::optional<RegistryCommand> command = decodeRegistryCommand(bytes);
    KJ_REQUIRE(command.has_value(), "a committed command cannot be decoded");
    const PutOutcome outcome = this->state.apply(*command);
    if (std::holds_alternative<PutConfiguration>(*command) && outcome == PutOutcome::Accepted) {
        this->putCount.Increment();
        this->updates.recordConfiguration();
        if (this->leading) {
            this->readConfiguration();
        }
    }
    if (std::holds_alternative<AssignSlot>(*command)) {
        this->group.setMembers(this->state.orderedMembers());
    }
    if (const auto *transfer = std::get_if<TransferRanges>(&*command)) {
        this->transferCount.Increment(static_cast<double>(transfer->transfers.size()));
    }
    this->updateEvacuatedZones();
    logCommand(this->log, *command, outcome, this->state);
    this->manager.onCommandEnded(*command);
    this->updates.recordCommand();
    this->endProposal(proposal, true, outcome);
    if (!this->leading) {
        return;
    }
    this->sendLeaseCalls();
    this->updates.notify();
}

void RegistryEngine::updateEvacuatedZones()
{
    this->evacuatedZones.Set(static_cast<double>(this->state.evacuations().zones().size()));
}

// Removes a proposal that was committed or has failed; calls `done` after the last one of its
// batch.
void RegistryEngine::endProposal(std::uint64_t proposal, bool committed, PutOutcome outcome)
{
    const auto found = this->proposals.find(proposal);
    if (found == this->proposals.end()) {
        return;
    }
    const Proposal ended = std::move(found->second);
    this->proposals.erase(found);
    if (!committed) {
        this->manager.onCommandEnded(ended.command);
    }
    Batch &batch = *ended.batch;
    batch.committed = batch.committed && committed;
    batch.outcome = outcome;
    if (--batch.open == 0) {
        batch.done(batch.committed, batch.outcome);
    }
}

// Proposes @p commands; @p done is called once, when all of them have been committed or have
// failed.
void RegistryEngine::commit(const std::vector<RegistryCommand> &commands, CommitHandler done)
{
    const auto batch = std::make_shared<Batch>();
    batch->open = commands.size();
    batch->done = std::move(done);
    for (const RegistryCommand &command : commands) {
        const std::uint64_t proposal = ++this->lastProposal;
        this->proposals.emplace(proposal, Proposal { command, batch, this->loop.now() });
        this->group.propose(proposal, encodeCommand(command));
    }
}

// Begins or ends a term as leader if the leadership of this host has changed.
void RegistryEngine::checkLeadership()
{
    const bool isLeader = this->group.isLeader();
    if (isLeader == this->leading && (!isLeader || this->group.term() == this->leadingTerm)) {
        return;
    }
    this->leading = isLeader;
    this->leadingTerm = this->group.term();
    this->log.write({ "leadership",
                      Event::Weight::Always,
                      { { "leads", isLeader }, { "term", std::int64_t(this->leadingTerm) } } });
    if (isLeader) {
        this->readConfiguration();
        this->manager.startTerm(this->loop.now());
        this->group.startTerm();
        this->updates.startTerm(this->leadingTerm);
        this->logUpstreams();
        if (this->state.members().empty()) {
            this->commit({ AssignSlot { bootstrapSlot, this->settings.ip, "" } },
                         [](bool, PutOutcome) {});
        }
        return;
    }
    // The outcome of the open proposals is unknown: the next leader may commit them.
    std::vector<std::uint64_t> open;
    for (const auto &[proposal, value] : this->proposals) {
        open.push_back(proposal);
    }
    for (const std::uint64_t proposal : open) {
        this->endProposal(proposal, false, PutOutcome::Conflict);
    }
    this->leaseCaller.cancelAll();
    this->updates.resumeAll();
}

// Decodes the configuration in effect and passes it to the manager. Only the leader needs it
// decoded, and a member that starts applies hundreds of configurations.
void RegistryEngine::readConfiguration()
{
    if (this->state.version() == this->decodedVersion) {
        return;
    }
    this->decodedVersion = this->state.version();
    const std::optional<std::string> text = unpackText(this->state.document());
    KJ_REQUIRE(text.has_value(), "the accepted configuration is damaged");
    auto decoded = this->codec.decodeConfiguration(*text);
    const auto *configuration = std::get_if<SiteConfiguration>(&decoded);
    KJ_REQUIRE(configuration != nullptr, "the accepted configuration cannot be read");
    this->manager.setConfiguration(std::make_shared<const SiteConfiguration>(*configuration));
}

// Runs @p action at once, unless this host is the leader and its lease has expired. A busy leader
// reads the replies that renew its lease after the calls that arrived with them. If it answered
// those as if it were not the leader, the callers would come back through the other hosts and keep
// it busy.
void RegistryEngine::whenLeadershipIsCertain(std::function<void()> action)
{
    if (!this->isLeadershipUncertain()) {
        action();
        return;
    }
    this->leaseWaits.push_back({ this->loop.now(), std::move(action) });
}

// Runs the waiting calls if the lease is confirmed or the leadership has ended, and those that have
// waited for too long.
void RegistryEngine::runLeaseWaits()
{
    const TimePoint oldest = this->loop.now() - maxLeaseWait;
    while (!this->leaseWaits.empty()
           && (!this->isLeadershipUncertain() || this->leaseWaits.front().since <= oldest)) {
        const std::function<void()> action = std::move(this->leaseWaits.front().action);
        this->leaseWaits.pop_front();
        action();
    }
}

void RegistryEngine::handleHeartbeat(const UpstreamReport &report,
                                     const std::function<void(HeartbeatResult)> &done)
{
    this->whenLeadershipIsCertain(
            [this, report, done] { this->handleCertainHeartbeat(report, done); });
}

void RegistryEngine::handleCertainHeartbeat(const UpstreamReport &report,
                                            const std::function<void(HeartbeatResult)> &done)
{
    if (!this->canAnswer()) {
        done(this->notLeading());
        return;
    }
    this->heartbeatCount.Increment();
    this->updates.load().countHeartbeat();
    const ReportResult result = this->manager.onHeartbeat(report, this->loop.now());
    if (result.status != ReportStatus::Accepted) {
        const bool isContested = result.status == ReportStatus::Contested;
        this->log.write({ isContested ? "heartbeat_contested" : "heartbeat_outdated",
                          Event::Weight::Important,
                          { { "upstream", report.incarnation.id },
                            { "born", report.incarnation.born },
                            { "sequence", std::int64_t(report.sequence) } } });
    }
    const bool changesLeases = result.status == ReportStatus::Accepted;
    const auto respond = [this, report, done, changesLeases] {
        if (changesLeases) {
            this->respondToHeartbeat(report, done);
        } else {
            done(HeartbeatResponse {});
        }
    };
    if (result.commands.empty()) {
        respond();
        return;
    }
    this->commit(result.commands, [respond, done](bool committed, PutOutcome) {
        if (committed) {
            respond();
        } else {
            done(CallOutcomeUnknown {});
        }
    });
}

// Responds to a heartbeat whose commands are committed.
void RegistryEngine::respondToHeartbeat(const UpstreamReport &report,
                                        const std::function<void(HeartbeatResult)> &done)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::Heartbeats);
    if (!this->canAnswer()) {
        done(CallOutcomeUnknown {});
        return;
    }
    const std::uint64_t changes = this->manager.changeCount();
    HeartbeatResponse response = this->manager.respond(report, this->loop.now());
    response.nextAddress = std::get<RegistrySettings>(this->settings.role).control;
    done(std::move(response));
    this->sendLeaseCalls();
    if (this->manager.isReleasingFrom(report.incarnation)) {
        this->commitDueCommands();
    }
    if (this->manager.changeCount() != changes) {
        this->updates.notify();
    }
}

void RegistryEngine::leave(const UpstreamIncarnation &incarnation,
                           const std::function<void(LeaveResult)> &done)
{
    this->whenLeadershipIsCertain(
            [this, incarnation, done] { this->handleCertainLeave(incarnation, done); });
}

void RegistryEngine::handleCertainLeave(const UpstreamIncarnation &incarnation,
                                        const std::function<void(LeaveResult)> &done)
{
    if (!this->canAnswer()) {
        done(this->notLeading());
        return;
    }
    const std::vector<RegistryCommand> commands
            = this->manager.onLeave(incarnation, this->loop.now());
    if (commands.empty()) {
        done(std::monostate {});
        return;
    }
    this->commit(commands, [done](bool committed, PutOutcome) {
        done(committed ? LeaveResult(std::monostate {}) : LeaveResult(CallOutcomeUnknown {}));
    });
}

void RegistryEngine::put(PutConfigurationCall call, const std::function<void(PutResult)> &done)
{
    this->whenLeadershipIsCertain(
            [this, call = std::move(call), done] { this->handleCertainPut(call, done); });
}

void RegistryEngine::handleCertainPut(const PutConfigurationCall &call,
                                      const std::function<void(PutResult)> &done)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::OperatorCalls);
    if (!this->canAnswer() || !this->group.hasEnoughVoters()) {
        done(this->notLeading());
        return;
    }
    auto decoded = this->codec.decodeConfiguration(call.document);
    if (const auto *error = std::get_if<ConfigurationError>(&decoded)) {
        done(InvalidConfiguration { error->reason });
        return;
    }
    const auto &configuration = std::get<SiteConfiguration>(decoded);
    if (const auto error = findConfigurationError(configuration)) {
        done(InvalidConfiguration { *error });
        return;
    }
    const PutConfiguration command
            = makePutConfiguration(configuration.version, call.base, call.document);
    const PutOutcome expected = this->state.outcomeOf(command);
    if (expected != PutOutcome::Accepted) {
        done(expected);
        return;
    }
    this->commit({ command }, [done](bool committed, PutOutcome outcome) {
        done(committed ? PutResult(outcome) : PutResult(CallOutcomeUnknown {}));
    });
}

void RegistryEngine::orderEvacuation(const EvacuationChange &order,
                                     const std::function<void(EvacuationResult)> &done)
{
    this->whenLeadershipIsCertain(
            [this, order, done] { this->handleCertainEvacuation(order, done); });
}

// Commits also an order that changes nothing: an opposite one may be on its way to be committed.
void RegistryEngine::handleCertainEvacuation(const EvacuationChange &order,
                                             const std::function<void(EvacuationResult)> &done)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::OperatorCalls);
    if (!this->canAnswer() || !this->group.hasEnoughVoters()) {
        done(this->notLeading());
        return;
    }
    if (const auto reason = findUnknownZoneReason(order.zone, this->state, this->settings)) {
        done(UnknownZone { *reason });
        return;
    }
    this->commit({ OrderEvacuation { order } }, [done](bool committed, PutOutcome) {
        done(committed ? EvacuationResult(std::monostate {})
                       : EvacuationResult(CallOutcomeUnknown {}));
    });
}

void RegistryEngine::read(const std::function<void(ReadResult)> &done)
{
    this->whenLeadershipIsCertain([this, done] {
        if (!this->canAnswer() || this->state.version() == 0) {
            done(this->notLeading());
            return;
        }
        done(ConfigurationDocument { unpackText(this->state.document()).value_or("") });
    });
}

kj::Promise<GroupHint> RegistryEngine::join(const JoinRequest &request)
{
    GroupHint hint = this->group.hint();
    if (!request.wantsSlot || !this->canAnswer()) {
        return hint;
    }
    const std::optional<std::uint32_t> slot = this->group.slotFor(request.ip);
    if (!slot) {
        return hint;
    }
    const auto known = this->state.members().find(*slot);
    if (known != this->state.members().end() && known->second == request.ip) {
        hint.slot = *slot;
        return hint;
    }
    auto paf = kj::newPromiseAndFulfiller<GroupHint>();
    auto fulfiller
            = std::make_shared<kj::Own<kj::PromiseFulfiller<GroupHint>>>(kj::mv(paf.fulfiller));
    const auto done = [this, fulfiller, slot = *slot, ip = request.ip](bool committed, PutOutcome) {
        GroupHint result = this->group.hint();
        const auto owner = this->state.members().find(slot);
        const bool isAssigned
                = committed && owner != this->state.members().end() && owner->second == ip;
        result.slot = isAssigned ? slot : 0;
        (*fulfiller)->fulfill(kj::mv(result));
    };
    const std::string replaced = known != this->state.members().end() ? known->second : "";
    this->commit({ AssignSlot { *slot, request.ip, replaced } }, done);
    return kj::mv(paf.promise);
}

// Proposes the commands that the manager has due now.
void RegistryEngine::commitDueCommands()
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::Decisions);
    const std::vector<RegistryCommand> commands = this->manager.dueCommands(this->loop.now());
    if (!commands.empty()) {
        this->commit(commands, [](bool, PutOutcome) {});
    }
}

// Sends the calls that deliver leases and are due now.
void RegistryEngine::sendLeaseCalls()
{
    if (!this->canAnswer()) {
        return;
    }
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::LeaseCalls);
    const std::uint64_t changes = this->manager.changeCount();
    for (const LeaseCall &call : this->manager.dueLeaseCalls(this->loop.now())) {
        this->leaseCaller.send(call);
    }
    if (this->manager.changeCount() != changes) {
        this->updates.notify();
    }
}

void RegistryEngine::onLeaseCallEnded(const LeaseCall &call, const LeaseCallResult &result)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::LeaseCalls);
    const std::uint64_t changes = this->manager.changeCount();
    const std::optional<EndedLeaseCall> ended
            = this->manager.onLeaseCallEnded(call.number, result, this->loop.now());
    if (!ended || !this->canAnswer()) {
        return;
    }
    logLeaseCall(this->log, *ended, result, this->loop.now());
    if (std::holds_alternative<ReleaseCall>(call.body)
        || std::holds_alternative<LeaseCallRefused>(result)) {
        this->commitDueCommands();
    }
    if (this->manager.changeCount() != changes) {
        this->updates.notify();
    }
}

void RegistryEngine::tick()
{
    this->runLeaseWaits();
    if (!this->canAnswer()) {
        return;
    }
    this->commitDueCommands();
    this->sendLeaseCalls();
    this->updates.resumeDue();
}

void RegistryEngine::logWatchLoad()
{
    if (!this->leading) {
        this->updates.load().clear(this->loop.workMeter());
        return;
    }
    WatchLoad::Waiting waiting { this->updates.waitingCount(), this->proposals.size(), {} };
    if (!this->proposals.empty()) {
        const Proposal &oldest = this->proposals.begin()->second; // numbered in order
        waiting.oldestProposal = this->loop.now() - oldest.proposedAt;
    }
    this->updates.load().write(this->log, this->loop.workMeter(), waiting);
    this->logUpstreams();
}

// Writes what this leader knows of the upstreams, which a new one learns from their heartbeats.
void RegistryEngine::logUpstreams()
{
    const RegistryManager::UpstreamCounts counts = this->manager.upstreamCounts(this->loop.now());
    this->log.write({ "upstreams_known",
                      Event::Weight::Always,
                      { { "registered", counts.registered },
                        { "unheard", counts.unheard },
                        { "warming", counts.warming } } });
}

} // namespace cassiaroad
