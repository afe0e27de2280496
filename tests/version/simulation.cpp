#include "version/simulation.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds stepTime { 5 };
constexpr Milliseconds leaderLease { 50 };
// Covers the takeover wait, the detection of losses and both steps of a change of owner.
constexpr Milliseconds settleDuration { 2500 };
constexpr std::uint32_t shardCount = 4;
constexpr std::size_t memberCount = 3;
const std::string service = "orders";
const std::vector<std::string> keys { "k0", "k1", "k2", "k3", "k4", "k5" };

OwnershipConfig simulatedConfig()
{
    OwnershipConfig config;
    config.zone = "a";
    config.services = { { service, shardCount } };
    config.upstreamLease = { 200 };
    config.entryLease = { 200 };
    config.announceInterval = { 30 };
    config.watchTimeout = { 30 };
    config.initialAssignmentDelay = { 100 };
    config.ejectPercent = 40;
    return config;
}

CallId &callIn(OwnershipEvent &event)
{
    static CallId none = 0;
    return std::visit(
            [](auto &value) -> CallId & {
                if constexpr (requires { value.call; }) {
                    return value.call;
                } else {
                    return none;
                }
            },
            event);
}

CallId callIn(const OwnershipAction &action)
{
    return std::visit(
            [](const auto &value) -> CallId {
                if constexpr (requires { value.call; }) {
                    return value.call;
                } else {
                    return 0;
                }
            },
            action);
}

} // namespace

std::optional<Grant> FakeUpstream::grantFor(const std::string &key, TimePoint now) const
{
    if (now >= this->leaseUntil) {
        return std::nullopt;
    }
    const auto find = [this](const RouteSubject &subject) -> std::optional<Grant> {
        for (const Grant &grant : this->grants.grants) {
            if (grant.subject == subject) {
                return grant.releasing ? std::nullopt : std::optional(grant);
            }
        }
        return std::nullopt;
    };
    const KeyRef ref { service, key };
    const bool own = std::any_of(
            this->grants.grants.begin(), this->grants.grants.end(),
            [&ref](const Grant &grant) { return grant.subject == RouteSubject(ref); });
    if (own) {
        return find(ref);
    }
    const auto &away = this->grants.movedAway;
    if (std::find(away.begin(), away.end(), ref) != away.end()) {
        return std::nullopt;
    }
    return find(ShardRef { service, shardOfKey(key, shardCount) });
}

Simulation::Simulation(std::uint64_t seed, bool checkGrants)
    : engine(seed)
    , upstreamsCheckGrants(checkGrants)
    , config(simulatedConfig())
{
    for (std::size_t i = 0; i < memberCount; ++i) {
        this->members.push_back(std::make_unique<FakeMember>(this->config));
    }
    for (int i = 0; i < 2; ++i) {
        FakeEntry entry;
        entry.id = { "e" + std::to_string(i), ++this->lastInstance };
        this->entries.push_back(std::move(entry));
    }
    for (int i = 0; i < 3; ++i) {
        FakeUpstream upstream;
        const std::string number = std::to_string(i);
        upstream.description = { { service, "u" + number },
                                 i == 2 ? "b" : "a",
                                 "127.0.0.1:900" + number,
                                 6,
                                 120,
                                 checkGrants,
                                 std::to_string(++this->lastInstance),
                                 false };
        upstream.endsAt = { INT64_MAX };
        this->upstreams.push_back(std::move(upstream));
    }
    this->electionAt = TimePoint { 0 };
}

void Simulation::run(const std::vector<Fault> &faults)
{
    for (const Fault &fault : faults) {
        const TimePoint at = this->now + Milliseconds { fault.wait };
        while (this->now < at) {
            this->step();
        }
        this->inject(fault);
    }
    const TimePoint faultsEnd = this->now + Milliseconds { 800 };
    while (this->now < faultsEnd) {
        this->step();
    }
    this->healed = true;
    const TimePoint end = this->now + settleDuration;
    while (this->now < end && this->violationsFound.empty()) {
        this->step();
    }
    this->checkSettled();
}

void Simulation::step()
{
    this->now = this->now + stepTime;
    if (this->electionAt && this->now >= *this->electionAt) {
        this->elect();
    }
    if (this->staleLeader && this->now >= this->staleUntil) {
        FakeMember &stale = *this->members[*this->staleLeader];
        this->staleLeader.reset();
        this->handleEvent(stale, LeadershipLost {});
        stale.isLeader = false;
        stale.proposals.clear();
        this->applyLog(stale, {});
    }
    this->commit();
    this->deliverMessages();
    this->deliverReplies();
    for (const auto &member : this->members) {
        if (member->isLeader) {
            this->handleEvent(*member, TimePassed { this->now.sinceOrigin });
        }
    }
    for (FakeEntry &entry : this->entries) {
        this->stepEntry(entry);
    }
    for (FakeUpstream &upstream : this->upstreams) {
        this->stepUpstream(upstream);
    }
    std::erase_if(this->upstreams, [this](const auto &item) { return this->now >= item.endsAt; });
    this->check();
}

void Simulation::inject(const Fault &fault)
{
    const TimePoint until = this->now + Milliseconds { fault.period };
    FakeEntry &entry = this->entries[fault.target % this->entries.size()];
    FakeUpstream &upstream = this->upstreams[fault.target % this->upstreams.size()];
    switch (fault.kind) {
    case FaultKind::PauseEntry:
        entry.pausedUntil = until;
        break;
    case FaultKind::RestartEntry: {
        FakeEntry fresh;
        fresh.id = { entry.id.name, ++this->lastInstance };
        for (const auto &[request, info] : entry.inFlight) {
            this->endRun(request);
        }
        entry = std::move(fresh);
        break;
    }
    case FaultKind::PauseUpstream:
        upstream.pausedUntil = until;
        break;
    case FaultKind::RestartUpstream: {
        FakeUpstream fresh;
        fresh.description = upstream.description;
        fresh.description.instance = std::to_string(++this->lastInstance);
        fresh.endsAt = upstream.endsAt;
        upstream.endsAt = until;
        this->upstreams.push_back(std::move(fresh));
        break;
    }
    case FaultKind::DrainUpstream:
        upstream.description.draining = !upstream.description.draining;
        break;
    case FaultKind::ChangeLeader:
        this->changeLeader(fault.period);
        break;
    case FaultKind::PartitionEntry:
        entry.partitionedUntil = until;
        break;
    case FaultKind::PartitionUpstream:
        upstream.partitionedUntil = until;
        break;
    case FaultKind::FailingReports:
        this->failingUntil[upstream.description.id.name] = until;
        break;
    case FaultKind::Intent:
        this->requestPlan(fault.target);
        break;
    }
}

// The old leader has its leader lease for a while and is notified late of its replacement. What it
// has proposed by then may or may not be committed.
void Simulation::changeLeader(std::uint32_t period)
{
    if (this->electionAt || this->staleLeader) {
        return;
    }
    const Milliseconds leaseLeft { this->random(static_cast<std::uint32_t>(leaderLease.count)) };
    this->leader().leaderLeaseUntil = this->now + leaseLeft;
    this->electionAt = this->now + leaseLeft + Milliseconds { this->random(100) };
    this->staleLeader = this->leaderIndex;
    this->staleUntil = *this->electionAt + Milliseconds { period };
}

void Simulation::elect()
{
    this->electionAt.reset();
    if (this->staleLeader) {
        FakeMember &old = *this->members[*this->staleLeader];
        const std::size_t committedCount
                = this->random(static_cast<std::uint32_t>(old.proposals.size()) + 1);
        for (std::size_t i = 0; i < committedCount; ++i) {
            this->log.push_back(encodeCommand(old.proposals[i].command));
        }
        old.proposals.clear();
        this->leaderIndex = (this->leaderIndex + 1 + this->random(memberCount - 1)) % memberCount;
    }
    FakeMember &fresh = this->leader();
    this->applyLog(fresh, {});
    fresh.isLeader = true;
    fresh.leaderLeaseUntil = { INT64_MAX };
    this->handleEvent(fresh, LeadershipGained {});
    this->checkConfirmations();
}

void Simulation::commit()
{
    FakeMember &member = this->leader();
    if (this->electionAt || !member.isLeader || this->random(2) == 0) {
        return;
    }
    std::map<std::size_t, ProposalId> ids;
    for (const ProposeCommand &proposal : std::exchange(member.proposals, {})) {
        ids.emplace(this->log.size(), proposal.proposal);
        this->log.push_back(encodeCommand(proposal.command));
    }
    this->applyLog(member, std::move(ids));
}

void Simulation::applyLog(FakeMember &member, std::map<std::size_t, ProposalId> ids)
{
    while (member.applied < this->log.size()) {
        const std::size_t index = member.applied++;
        const auto command = decodeCommand(this->log[index]);
        if (!command) {
            this->addViolation("a command cannot be decoded");
            return;
        }
        const CommandResult result = member.state->apply(*command);
        const auto id = ids.find(index);
        this->handleEvent(member, CommandCommitted { id == ids.end() ? 0 : id->second, result });
    }
}

void Simulation::handleEvent(FakeMember &member, const OwnershipEvent &event)
{
    const bool hasLease = member.isLeader && this->now < member.leaderLeaseUntil;
    for (OwnershipAction &action : member.manager->handle(event, this->now, hasLease)) {
        if (auto *proposal = std::get_if<ProposeCommand>(&action)) {
            member.proposals.push_back(std::move(*proposal));
            continue;
        }
        const std::uint32_t percentage = this->healed ? 100 : this->random(100);
        if (percentage < 2) {
            continue; // dropped
        }
        const std::uint32_t delay = percentage < 6 ? 50 + this->random(400) : 1 + this->random(8);
        this->pendingReplies.push_back({ this->now + Milliseconds { delay }, std::move(action) });
    }
}

CallId Simulation::call(OwnershipEvent event, Call call, bool isPartitioned)
{
    const CallId id = ++this->lastCall;
    callIn(event) = id;
    call.sent = this->now;
    this->calls.emplace(id, std::move(call));
    const std::uint32_t percentage = this->healed ? 100 : this->random(100);
    if (isPartitioned || percentage < 2) {
        return id;
    }
    const std::uint32_t delay = percentage < 5 ? 50 + this->random(300) : 1 + this->random(8);
    const bool toStale = this->staleLeader && this->random(3) == 0;
    this->messages.push_back({ this->now + Milliseconds { delay },
                               toStale ? *this->staleLeader : this->leaderIndex,
                               std::move(event) });
    return id;
}

void Simulation::deliverMessages()
{
    std::deque<Message> due;
    std::deque<Message> later;
    for (Message &message : this->messages) {
        (message.at <= this->now ? due : later).push_back(std::move(message));
    }
    this->messages = std::move(later);
    for (const Message &message : due) {
        this->handleEvent(*this->members[message.member], message.event);
    }
}

bool Simulation::isBlocked(const OwnershipAction &action) const
{
    const auto call = this->calls.find(callIn(action));
    if (call == this->calls.end()) {
        return false;
    }
    for (const FakeEntry &entry : this->entries) {
        if (std::to_string(entry.id.instance) == call->second.process) {
            return this->now < entry.pausedUntil || this->now < entry.partitionedUntil;
        }
    }
    for (const FakeUpstream &upstream : this->upstreams) {
        if (upstream.description.instance == call->second.process) {
            return this->now < upstream.pausedUntil || this->now < upstream.partitionedUntil;
        }
    }
    return false;
}

void Simulation::deliverReplies()
{
    std::deque<PendingReply> due;
    std::deque<PendingReply> later;
    for (PendingReply &pendingReply : this->pendingReplies) {
        const bool ready = pendingReply.at <= this->now && !this->isBlocked(pendingReply.action);
        (ready ? due : later).push_back(std::move(pendingReply));
    }
    this->pendingReplies = std::move(later);
    for (const PendingReply &pendingReply : due) {
        const auto node = this->calls.extract(callIn(pendingReply.action));
        if (!node.empty()) {
            std::visit([&](const auto &reply) { this->onReply(reply, node.mapped()); },
                       pendingReply.action);
        }
    }
}

FakeEntry *Simulation::entryOf(const Call &call)
{
    for (FakeEntry &entry : this->entries) {
        if (std::to_string(entry.id.instance) == call.process) {
            return &entry;
        }
    }
    return nullptr;
}

FakeUpstream *Simulation::upstreamOf(const Call &call)
{
    for (FakeUpstream &upstream : this->upstreams) {
        if (upstream.description.instance == call.process) {
            return &upstream;
        }
    }
    return nullptr;
}

void Simulation::addViolation(const std::string &text)
{
    this->violationsFound.push_back("at " + std::to_string(this->now.sinceOrigin) + " ms: " + text);
}

std::uint64_t Simulation::movesCompleted() const
{
    std::uint64_t epochs = 0;
    for (const auto &[shard, entry] : this->members[this->leaderIndex]->state->routing().shards()) {
        epochs += entry.route.epoch - 1;
    }
    return epochs;
}

void Simulation::requestPlan(std::uint32_t choice)
{
    const UpstreamId upstream { service, "u" + std::to_string(choice % 3) };
    const std::vector<Intent> intents {
        DrainUpstream { upstream },
        ReturnUpstream { upstream },
        MoveKey { { service, keys[choice % keys.size()] }, upstream.name },
        Rebalance { service },
        ZoneOut { choice % 2 == 0 ? "a" : "b" },
        ZoneIn { choice % 2 == 0 ? "a" : "b" },
        SetSetting { "limits.queue-length", std::to_string(1 + choice) },
    };
    PlanRequested request;
    request.who = "anna";
    request.why = "maintenance";
    request.intent = intents[(choice / 3) % intents.size()];
    this->call(request, { "operator", {}, {}, 0 }, false);
}

} // namespace cassiaroad
