#include "version/planner.h"

#include "version/settingoverrides.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace cassiaroad {

namespace {

std::string name(const UpstreamId &id)
{
    return id.service + "/" + id.name;
}

bool contains(const std::vector<std::string> &names, const std::string &candidate)
{
    return std::find(names.begin(), names.end(), candidate) != names.end();
}

/** Returns the owner, or the new one if a change of owner is in progress. */
std::string nextOwner(const RouteEntry &entry)
{
    return entry.route.state == RouteState::Releasing ? entry.to : entry.route.upstream;
}

} // namespace

Planner::Planner(const ControlState &controlState, const LoadTable &loadTable,
                 const OwnershipConfig &ownershipConfig)
    : state(controlState)
    , loads(loadTable)
    , config(ownershipConfig)
{ }

PlanResult Planner::plan(const Intent &intent, const std::string &who, const std::string &why) const
{
    if (who.empty() || why.empty()) {
        return IntentRefused { "the operator and the reason are required" };
    }
    PlanResult result
            = std::visit([this](const auto &value) { return this->planFor(value); }, intent);
    if (auto *plan = std::get_if<Plan>(&result)) {
        plan->basis = this->state.placementRevision();
        plan->who = who;
        plan->why = why;
        plan->intent = intent;
        this->addEffects(*plan);
    }
    return result;
}

const ServiceShards *Planner::service(const std::string &name) const
{
    for (const ServiceShards &candidate : this->config.services) {
        if (candidate.name == name) {
            return &candidate;
        }
    }
    return nullptr;
}

PlacementInput Planner::read(const ServiceShards &service) const
{
    return PlacementInput::read(this->state, this->loads, this->config, service);
}

PlanResult Planner::planFor(const DrainUpstream &intent) const
{
    const UpstreamEntry *entry = this->state.routing().upstream(intent.upstream);
    const ServiceShards *service = this->service(intent.upstream.service);
    if (entry == nullptr || service == nullptr) {
        return IntentRefused { "upstream " + name(intent.upstream) + " is not registered" };
    }
    if (entry->drained) {
        return IntentRefused { "upstream " + name(intent.upstream) + " is already drained" };
    }
    Plan plan;
    this->addDrainMoves(plan, *service, { intent.upstream.name },
                        "drain of " + name(intent.upstream));
    if (!plan.unreachable.empty()) {
        return IntentRefused { "no other upstream of " + service->name + " accepts shards" };
    }
    return plan;
}

PlanResult Planner::planFor(const ReturnUpstream &intent) const
{
    const UpstreamEntry *entry = this->state.routing().upstream(intent.upstream);
    const ServiceShards *service = this->service(intent.upstream.service);
    if (entry == nullptr || service == nullptr) {
        return IntentRefused { "upstream " + name(intent.upstream) + " is not registered" };
    }
    if (!entry->drained) {
        return IntentRefused { "upstream " + name(intent.upstream) + " is not drained" };
    }
    Plan plan;
    PlacementInput input = this->read(*service);
    for (PlacementServer &server : input.servers) {
        if (server.name == intent.upstream.name) {
            server.accepting = entry->state == UpstreamState::Up && !entry->upstream.draining
                               && !this->state.routing().isZoneOut(entry->upstream.zone);
            server.cold = true;
        }
    }
    this->addRebalanceMoves(plan, *service, input);
    return plan;
}

std::string Planner::targetRefusal(const MoveKey &intent) const
{
    const UpstreamId target { intent.key.service, intent.to };
    const UpstreamEntry *entry = this->state.routing().upstream(target);
    if (entry == nullptr) {
        return "upstream " + name(target) + " is not registered";
    }
    if (!this->state.routing().accepts(*entry)) {
        return "upstream " + name(target) + " does not accept keys";
    }
    if (this->state.routing().route(intent.key) == nullptr
        && this->state.routing().keys().size() >= this->state.limits().movedKeys) {
        return "the table of moved keys is full (" + std::to_string(this->state.limits().movedKeys)
               + "); move a key back to the owner of its shard first";
    }
    return "";
}

PlanResult Planner::planFor(const MoveKey &intent) const
{
    const ServiceShards *service = this->service(intent.key.service);
    if (service == nullptr) {
        return IntentRefused { "service \"" + intent.key.service + "\" is not configured" };
    }
    if (std::string refused = this->targetRefusal(intent); !refused.empty()) {
        return IntentRefused { std::move(refused) };
    }
    const std::uint32_t shard = shardOfKey(intent.key.key, service->shards);
    if (homeRegionOfShard(shard, this->config.regionCount) != this->config.regionIndex) {
        return IntentRefused { "the key belongs to another region" };
    }
    const RouteEntry *route = this->state.routing().route(intent.key);
    if (route == nullptr) {
        route = this->state.routing().route(ShardRef { service->name, shard });
    }
    if (route == nullptr) {
        return IntentRefused { "the shard of the key has no owner yet" };
    }
    if (nextOwner(*route) == intent.to) {
        return IntentRefused { "upstream " + intent.to + " owns the key already" };
    }
    Plan plan;
    plan.moves.push_back({ intent.key, nextOwner(*route), intent.to, "requested for this key" });
    return plan;
}

PlanResult Planner::planFor(const ZoneOut &intent) const
{
    if (this->state.routing().isZoneOut(intent.zone)) {
        return IntentRefused { "zone " + intent.zone + " is already out" };
    }
    Plan plan;
    bool known = intent.zone == this->config.zone;
    for (const ServiceShards &service : this->config.services) {
        std::vector<std::string> leaving;
        for (const auto &[id, entry] : this->state.routing().upstreams()) {
            if (id.service == service.name && entry.upstream.zone == intent.zone) {
                leaving.push_back(id.name);
            }
        }
        known = known || !leaving.empty();
        if (!leaving.empty()) {
            this->addDrainMoves(plan, service, leaving, "zone " + intent.zone + " goes out");
        }
    }
    if (!known) {
        return IntentRefused { "zone " + intent.zone + " has no upstream and no leader" };
    }
    return plan;
}

PlanResult Planner::planFor(const ZoneIn &intent) const
{
    if (!this->state.routing().isZoneOut(intent.zone)) {
        return IntentRefused { "zone " + intent.zone + " is not out" };
    }
    Plan plan;
    for (const ServiceShards &service : this->config.services) {
        PlacementInput input = this->read(service);
        for (PlacementServer &server : input.servers) {
            const UpstreamEntry *entry
                    = this->state.routing().upstream({ service.name, server.name });
            if (server.zone == intent.zone) {
                server.accepting = entry->state == UpstreamState::Up && !entry->drained
                                   && !entry->upstream.draining;
                server.cold = true;
            }
        }
        this->addRebalanceMoves(plan, service, input);
    }
    return plan;
}

PlanResult Planner::planFor(const SetSetting &intent) const
{
    std::string refused = SettingOverrides::check(intent.name, intent.value);
    if (!refused.empty()) {
        return IntentRefused { std::move(refused) };
    }
    return Plan {};
}

PlanResult Planner::planFor(const Rebalance &intent) const
{
    const ServiceShards *service = this->service(intent.service);
    if (service == nullptr) {
        return IntentRefused { "service \"" + intent.service + "\" is not configured" };
    }
    Plan plan;
    this->addRebalanceMoves(plan, *service, this->read(*service));
    return plan;
}

void Planner::addDrainMoves(Plan &plan, const ServiceShards &service,
                            const std::vector<std::string> &leaving, const std::string &why) const
{
    PlacementInput input = this->read(service);
    std::vector<PlacementShard> staying;
    for (PlacementServer &server : input.servers) {
        server.accepting = server.accepting && !contains(leaving, server.name);
    }
    const PlacementPolicy policy(PlacementInput::weights(this->state, this->config));
    std::size_t unplacedShards = 0;
    for (const PlacementMove &move : policy.placeUnownedShards(input.servers, input.shards)) {
        if (!contains(leaving, move.from)) {
            continue; // had no accepting owner before; the leader moves it without a plan
        }
        if (move.to.empty()) {
            ++unplacedShards;
            continue;
        }
        plan.moves.push_back({ ShardRef { service.name, move.shard }, move.from, move.to,
                               why + "; " + move.to + " is the least loaded" });
    }
    if (unplacedShards > 0) {
        plan.unreachable.push_back({ std::to_string(unplacedShards) + " shards of " + service.name
                                             + ": no other upstream accepts them",
                                     { 0 },
                                     true });
    }
    this->addKeyDrainMoves(plan, service, input, leaving, why);
}

void Planner::addKeyDrainMoves(Plan &plan, const ServiceShards &service,
                               const PlacementInput &input, const std::vector<std::string> &leaving,
                               const std::string &why) const
{
    std::map<RouteSubject, std::string> newOwners;
    for (const PlannedMove &move : plan.moves) {
        newOwners.emplace(move.subject, move.to);
    }
    for (const auto &[key, entry] : this->state.routing().keys()) {
        const std::string owner = nextOwner(entry);
        if (key.service != service.name || !contains(leaving, owner)) {
            continue;
        }
        const ShardRef shard { service.name, entry.shard };
        const auto moved = newOwners.find(shard);
        const RouteEntry *shardRoute = this->state.routing().route(shard);
        const std::string to = moved != newOwners.end() ? moved->second
                               : shardRoute != nullptr  ? nextOwner(*shardRoute)
                                                        : "";
        const bool accepted = std::any_of(input.servers.begin(), input.servers.end(),
                                          [&to](const PlacementServer &server) {
                                              return server.accepting && server.name == to;
                                          });
        if (accepted) {
            plan.moves.push_back({ key, owner, to, why + "; back to the owner of its shard" });
        } else {
            plan.unreachable.push_back({ "key " + key.key + " of " + service.name, { 0 }, true });
        }
    }
}

void Planner::addRebalanceMoves(Plan &plan, const ServiceShards &service,
                                const PlacementInput &input) const
{
    const RebalancePolicy policy(PlacementInput::weights(this->state, this->config),
                                 this->state.limits().movedKeys);
    const RebalanceMoves moves = policy.rebalance(input.servers, input.shards, input.keys);
    for (const PlacementKeyMove &move : moves.keys) {
        plan.moves.push_back(
                { KeyRef { service.name, move.key }, move.from, move.to, move.reason });
    }
    for (const PlacementMove &move : moves.shards) {
        const ShardRef shard { service.name, move.shard };
        if (this->state.routing().route(shard) != nullptr) {
            plan.moves.push_back({ shard, move.from, move.to, move.reason });
        }
    }
}

double Planner::loadOf(const RouteSubject &subject) const
{
    if (const auto *shard = std::get_if<ShardRef>(&subject)) {
        return this->loads.shardLoad(*shard);
    }
    return this->loads.keyLoad(std::get<KeyRef>(subject));
}

void Planner::addEffects(Plan &plan) const
{
    std::size_t shards = 0;
    bool untilLeaseExpiry = false;
    for (const PlannedMove &move : plan.moves) {
        const bool isShard = std::holds_alternative<ShardRef>(move.subject);
        shards += isShard ? 1 : 0;
        const double load = this->loadOf(move.subject);
        plan.keysMoved.keys
                += isShard ? static_cast<std::uint64_t>(std::max(1.0, std::ceil(load))) : 1;
        const UpstreamEntry *owner
                = this->state.routing().upstream({ serviceOf(move.subject), move.from });
        untilLeaseExpiry = untilLeaseExpiry || owner == nullptr || !owner->upstream.checksGrants;
    }
    plan.keysMoved.exact = shards == 0;
    plan.keysMoved.basis = shards == 0 ? "exact: only single keys change owner"
                                       : "estimated from the load of " + std::to_string(shards)
                                                 + " shards: one key for each request per second, "
                                                   "at least one for each shard";
    if (plan.moves.empty()) {
        return;
    }
    // A change of owner takes three reports in turn: entry hosts report that they have drained the
    // shard or key, the owner reports the release, and the new owner receives its grant. An owner
    // that does not check grants, or is not registered, loses them only when its lease expires.
    const Milliseconds reportDelay = this->config.watchTimeout + this->config.announceInterval * 2;
    const Milliseconds period
            = untilLeaseExpiry ? reportDelay + this->config.upstreamLease : reportDelay;
    plan.unreachable.push_back({ std::to_string(plan.moves.size())
                                         + " shards and keys, each while it changes owner; "
                                           "requests wait meanwhile",
                                 period, false });
}

} // namespace cassiaroad
