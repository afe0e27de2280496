#include "version/movesupervisor.h"

#include "version/grantbuilder.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr std::size_t maxAssignmentsPerCommand = 1024;
constexpr std::size_t maxMovesPerCommand = 256;

std::string assignSubject(const std::string &service)
{
    return "assign " + service;
}

} // namespace

MoveSupervisor::MoveSupervisor(LeaderContext &leaderContext,
                               const UpstreamSupervisor &upstreamSupervisor)
    : context(leaderContext)
    , upstreams(upstreamSupervisor)
{ }

void MoveSupervisor::reset()
{
    this->leaseExpiries.clear();
    this->unassigned.clear();
    this->outages.clear();
    this->leaseExpiriesRevision.reset();
    this->scannedRevision.reset();
}

void MoveSupervisor::updateLeaseExpiries()
{
    const RoutingState &routing = this->context.state.routing();
    if (this->leaseExpiriesRevision == routing.revision()) {
        return;
    }
    this->leaseExpiriesRevision = routing.revision();
    std::erase_if(this->leaseExpiries, [&routing](const auto &item) {
        return !routing.releasing().contains(item.first);
    });
    for (const RouteSubject &subject : routing.releasing()) {
        const RouteEntry &entry = *routing.route(subject);
        const UpstreamId id { serviceOf(subject), entry.route.upstream };
        const UpstreamEntry *owner = routing.upstream(id);
        if (owner != nullptr && GrantBuilder::contains(entry, *owner)) {
            this->leaseExpiries.erase(subject);
            continue;
        }
        const auto known = this->leaseExpiries.find(subject);
        if (known == this->leaseExpiries.end() || known->second.epoch != entry.route.epoch) {
            this->leaseExpiries[subject]
                    = { entry.route.epoch, this->context.leases.upstreamLeaseEnd(id) };
        }
    }
}

bool MoveSupervisor::hasDueAssignment() const
{
    return std::any_of(this->unassigned.begin(), this->unassigned.end(),
                       [this](const std::string &service) {
                           return this->upstreams.isAssignmentDue(service)
                                  && !this->context.proposals.isInFlight(assignSubject(service));
                       });
}

void MoveSupervisor::step()
{
    this->targets.clear();
    this->recordOutages();
    const Revision revision = this->context.state.revision();
    if (this->scannedRevision != revision || this->hasDueAssignment()) {
        this->scannedRevision = revision;
        this->scanRoutes();
    }
    this->proposePlannedMoves();
    this->proposeCompleteMoves();
}

void MoveSupervisor::scanRoutes()
{
    for (const ServiceShards &service : this->context.config.services) {
        this->proposeAssignments(service);
        this->proposeReleases(service);
    }
}

void MoveSupervisor::proposeAssignments(const ServiceShards &service)
{
    const RoutingState &routing = this->context.state.routing();
    AssignShards command { service.name, {} };
    for (std::uint32_t shard = this->context.config.regionIndex; shard < service.shards;
         shard += this->context.config.regionCount) {
        if (routing.route(ShardRef { service.name, shard }) == nullptr) {
            command.shards.push_back({ shard, "" });
        }
    }
    if (command.shards.empty()) {
        this->unassigned.erase(service.name);
        return;
    }
    this->unassigned.insert(service.name);
    if (!this->upstreams.isAssignmentDue(service.name)
        || this->context.proposals.isInFlight(assignSubject(service.name))) {
        return;
    }
    command.shards.resize(std::min(command.shards.size(), maxAssignmentsPerCommand));
    const Targets &chosen = this->targetsOf(service.name);
    for (ShardAssignment &assignment : command.shards) {
        const auto target = chosen.find(assignment.shard);
        assignment.upstream = target == chosen.end() ? "" : target->second;
    }
    std::erase_if(command.shards, [](const auto &item) { return item.upstream.empty(); });
    if (!command.shards.empty()) {
        this->context.propose(std::move(command), { assignSubject(service.name) });
    }
}

std::optional<MoveReason> MoveSupervisor::reasonToMove(const UpstreamId &owner,
                                                       const RouteEntry &entry) const
{
    const UpstreamEntry *upstream = this->context.state.routing().upstream(owner);
    const bool owned = entry.route.state == RouteState::Owned;
    if (upstream == nullptr || upstream->state != UpstreamState::Up) {
        const bool isReleasingForLoss = !owned && entry.route.reason == MoveReason::Loss;
        return isReleasingForLoss ? std::nullopt : std::optional(MoveReason::Loss);
    }
    const bool leaves = upstream->upstream.draining && owned;
    return leaves ? std::optional(MoveReason::Planned) : std::nullopt;
}

void MoveSupervisor::proposeReleases(const ServiceShards &service)
{
    std::map<MoveReason, std::vector<ReleaseStart>> starts;
    const auto collect = [&](const auto &routes) {
        for (const auto &[ref, entry] : routes) {
            if (ref.service != service.name
                || this->context.proposals.isInFlight(RouteSubject(ref))) {
                continue;
            }
            const auto reason = this->reasonToMove({ ref.service, entry.route.upstream }, entry);
            if (!reason) {
                continue;
            }
            const std::string to = this->targetFor(ref, entry);
            // A draining owner still serves, so it stays the owner if no other upstream accepts
            // the shard or key.
            if (*reason == MoveReason::Loss || !to.empty()) {
                starts[*reason].push_back({ ref, entry.route.epoch, to, 0 });
            }
        }
    };
    collect(this->context.state.routing().shards());
    collect(this->context.state.routing().keys());
    for (auto &[reason, moves] : starts) {
        this->proposeStartMoves(reason, 0, std::move(moves));
    }
}

const MoveSupervisor::Targets &MoveSupervisor::targetsOf(const std::string &service)
{
    const auto found = this->targets.find(service);
    if (found != this->targets.end()) {
        return found->second;
    }
    Targets &chosen = this->targets[service];
    const ServiceShards *settings = this->context.service(service);
    if (settings == nullptr) {
        return chosen;
    }
    const PlacementInput input = PlacementInput::read(this->context.state, this->context.loads,
                                                      this->context.config, *settings);
    const PlacementPolicy policy(
            PlacementInput::weights(this->context.state, this->context.config));
    for (const PlacementMove &move : policy.placeUnownedShards(input.servers, input.shards)) {
        chosen[move.shard] = move.to;
    }
    return chosen;
}

bool MoveSupervisor::accepts(const std::string &service, const std::string &upstream) const
{
    const RoutingState &routing = this->context.state.routing();
    const UpstreamEntry *entry = routing.upstream({ service, upstream });
    return entry != nullptr && routing.accepts(*entry);
}

std::string MoveSupervisor::targetFor(const RouteSubject &subject, const RouteEntry &entry)
{
    const std::string &service = serviceOf(subject);
    // An owner that becomes available again before its shards and keys have moved stays their
    // owner. Otherwise all keys would change owner after an outage of all upstreams or all entry
    // hosts.
    const bool lost = entry.route.state == RouteState::Releasing
                      && entry.route.reason == MoveReason::Loss && entry.plan == 0;
    if (lost && this->accepts(service, entry.route.upstream)) {
        return entry.route.upstream;
    }
    if (!entry.to.empty() && this->accepts(service, entry.to)) {
        return entry.to;
    }
    const auto *shard = std::get_if<ShardRef>(&subject);
    const Targets &chosen = this->targetsOf(service);
    const auto found = chosen.find(shard != nullptr ? shard->shard : entry.shard);
    if (found != chosen.end()) {
        return found->second;
    }
    // A moved key without a target returns to the owner of its shard, which needs no new
    // placement.
    const RouteEntry *shardRoute
            = shard != nullptr
                      ? nullptr
                      : this->context.state.routing().route(ShardRef { service, entry.shard });
    if (shardRoute == nullptr) {
        return "";
    }
    const std::string &owner = shardRoute->route.state == RouteState::Releasing
                                       ? shardRoute->to
                                       : shardRoute->route.upstream;
    return this->accepts(service, owner) ? owner : "";
}

void MoveSupervisor::recordOutages()
{
    const RoutingState &routing = this->context.state.routing();
    std::set<std::string> acceptingServices;
    for (const auto &[id, entry] : routing.upstreams()) {
        if (routing.accepts(entry)) {
            acceptingServices.insert(id.service);
        }
    }
    for (const ServiceShards &service : this->context.config.services) {
        if (!acceptingServices.contains(service.name)) {
            this->outages[service.name] = this->context.now;
        }
    }
}

// Whether a service had no accepting upstream within the last two announce intervals. Moves to
// other owners wait until then, since otherwise the first upstream to return after an outage of all
// upstreams would be assigned every shard and key.
bool MoveSupervisor::isRecovering(const std::string &service) const
{
    const auto outage = this->outages.find(service);
    return outage != this->outages.end()
           && this->context.now < outage->second + this->context.config.announceInterval * 2;
}

void MoveSupervisor::proposeStartMoves(MoveReason reason, PlanNumber plan,
                                       std::vector<ReleaseStart> moves)
{
    for (std::size_t first = 0; first < moves.size(); first += maxMovesPerCommand) {
        const std::size_t last = std::min(moves.size(), first + maxMovesPerCommand);
        StartMove command { reason, plan, {} };
        std::vector<ProposalSubject> proposalSubjects;
        for (std::size_t i = first; i < last; ++i) {
            proposalSubjects.emplace_back(moves[i].subject);
            command.moves.push_back(std::move(moves[i]));
        }
        this->context.propose(std::move(command), std::move(proposalSubjects));
    }
}

void MoveSupervisor::proposePlannedMoves()
{
    for (const PlanNumber number : this->context.state.plans().active()) {
        const PlanEntry *entry = this->context.state.plans().find(number);
        if (!entry->remaining.empty()) {
            this->proposeMovesOf(*entry);
        }
    }
}

void MoveSupervisor::proposeMovesOf(const PlanEntry &entry)
{
    std::vector<ReleaseStart> starts;
    for (const PlannedMove &move : entry.plan.moves) {
        if (!entry.remaining.contains(move.subject)
            || this->context.proposals.isInFlight(move.subject)) {
            continue;
        }
        if (auto start = this->releaseStartFor(move)) {
            starts.push_back(std::move(*start));
        }
    }
    this->proposeStartMoves(MoveReason::Planned, entry.plan.number, std::move(starts));
}

std::optional<ReleaseStart> MoveSupervisor::releaseStartFor(const PlannedMove &move) const
{
    const RoutingState &routing = this->context.state.routing();
    const RouteEntry *route = routing.route(move.subject);
    if (route != nullptr) {
        const bool isPlannedRelease = route->route.state == RouteState::Releasing
                                      && route->route.reason == MoveReason::Planned;
        return isPlannedRelease ? std::nullopt
                                : std::optional(ReleaseStart { move.subject, route->route.epoch,
                                                               move.to, 0 });
    }
    const auto *key = std::get_if<KeyRef>(&move.subject);
    if (key == nullptr) {
        return std::nullopt;
    }
    const std::uint32_t shard = shardOfKey(key->key, this->context.service(key->service)->shards);
    const RouteEntry *shardRoute = routing.route(ShardRef { key->service, shard });
    if (shardRoute == nullptr || shardRoute->route.state != RouteState::Owned) {
        return std::nullopt;
    }
    return ReleaseStart { move.subject, 0, move.to, shard };
}

bool MoveSupervisor::canComplete(const RouteSubject &subject, const RouteEntry &entry) const
{
    if (!this->context.leases.haveAllDrained(entry.releaseRevision, this->context.now)) {
        return false;
    }
    const auto expiry = this->leaseExpiries.find(subject);
    if (expiry != this->leaseExpiries.end() && this->context.now >= expiry->second.at) {
        return true;
    }
    const UpstreamId owner { serviceOf(subject), entry.route.upstream };
    if (entry.route.reason == MoveReason::Loss) {
        return false;
    }
    return this->upstreams.isReleased(subject, entry.route.epoch)
           || this->context.now >= this->context.leases.upstreamLeaseEnd(owner);
}

void MoveSupervisor::proposeCompleteMoves()
{
    if (!this->context.leases.hasTakeoverDelayPassed(this->context.now)) {
        return;
    }
    CompleteMove command;
    std::vector<ProposalSubject> proposalSubjects;
    for (const RouteSubject &subject : this->context.state.routing().releasing()) {
        const RouteEntry &entry = *this->context.state.routing().route(subject);
        if (this->context.proposals.isInFlight(subject) || !this->canComplete(subject, entry)) {
            continue;
        }
        std::string to = this->targetFor(subject, entry);
        if (to.empty() && entry.route.reason == MoveReason::Planned) {
            to = entry.route.upstream; // no other upstream accepts it, and the owner still serves
        }
        const bool ownerMayReturn = entry.route.reason == MoveReason::Loss
                                    && to != entry.route.upstream
                                    && this->isRecovering(serviceOf(subject));
        if (to.empty() || ownerMayReturn) {
            continue;
        }
        command.moves.push_back({ subject, entry.route.epoch, std::move(to) });
        proposalSubjects.emplace_back(subject);
        if (command.moves.size() == maxMovesPerCommand) {
            this->context.propose(std::exchange(command, {}), std::exchange(proposalSubjects, {}));
        }
    }
    if (!command.moves.empty()) {
        this->context.propose(std::move(command), std::move(proposalSubjects));
    }
}

} // namespace cassiaroad
