#include "version/routingstate.h"

#include "version/routedeltabuilder.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

constexpr std::size_t maxFormerInstances = 8;
const std::string zoneOutPrefix = "zone-out.";

auto findRoute(auto &shards, auto &keys, const RouteSubject &subject)
{
    if (const auto *shard = std::get_if<ShardRef>(&subject)) {
        const auto found = shards.find(*shard);
        return found == shards.end() ? nullptr : &found->second;
    }
    const auto found = keys.find(std::get<KeyRef>(subject));
    return found == keys.end() ? nullptr : &found->second;
}

} // namespace

// Raises the revision if there are pending changes; returns whether there were.
bool RoutingState::commitChange()
{
    if (this->pending.empty()) {
        return false;
    }
    ++this->currentRevision;
    this->history.add(this->currentRevision, std::exchange(this->pending, {}));
    return true;
}

bool RoutingState::registerUpstream(const Upstream &upstream, GroupTime now)
{
    if (this->upstreamMap.contains(upstream.id)) {
        return false;
    }
    UpstreamEntry entry;
    entry.upstream = upstream;
    entry.upSince = now;
    entry.grantVersion = this->currentRevision + 1;
    this->upstreamMap.emplace(upstream.id, std::move(entry));
    this->addChange(upstream.id);
    return this->commitChange();
}

bool RoutingState::changeUpstream(const Upstream &upstream, UpstreamState state, GroupTime now)
{
    const auto found = this->upstreamMap.find(upstream.id);
    if (found == this->upstreamMap.end()) {
        return false;
    }
    UpstreamEntry &entry = found->second;
    const auto &former = entry.formerInstances;
    const bool superseded
            = std::find(former.begin(), former.end(), upstream.instance) != former.end();
    if (superseded || (entry.upstream == upstream && entry.state == state)) {
        return false;
    }
    const bool restarted = entry.upstream.instance != upstream.instance;
    if (restarted || (state == UpstreamState::Up && entry.state != UpstreamState::Up)) {
        entry.upSince = now;
    }
    if (restarted) {
        this->replaceInstance(entry, upstream.instance);
    }
    if (entry.upstream.checksGrants != upstream.checksGrants) {
        entry.grantVersion = this->currentRevision + 1;
    }
    entry.upstream = upstream;
    entry.state = state;
    this->addChange(upstream.id);
    return this->commitChange();
}

// Sets the new instance of a restarted upstream and starts the release of all that it owns.
void RoutingState::replaceInstance(UpstreamEntry &entry, const std::string &instance)
{
    entry.formerInstances.push_back(entry.upstream.instance);
    if (entry.formerInstances.size() > maxFormerInstances) {
        entry.formerInstances.erase(entry.formerInstances.begin());
    }
    entry.upstream.instance = instance;
    entry.grantVersion = this->currentRevision + 1;
    this->releaseAll(entry.upstream.id);
}

void RoutingState::releaseAll(const UpstreamId &owner)
{
    const auto releaseOwned = [this, &owner](auto &routes) {
        for (auto &[ref, entry] : routes) {
            if (ref.service == owner.service && entry.route.upstream == owner.name
                && entry.route.state != RouteState::Unassigned) {
                // By default, the new instance of the same upstream is the new owner.
                entry.to = entry.to.empty() ? owner.name : entry.to;
                this->release(ref, entry, MoveReason::Loss);
            }
        }
    };
    releaseOwned(this->shardMap);
    releaseOwned(this->keyMap);
}

void RoutingState::release(const RouteSubject &subject, RouteEntry &entry, MoveReason reason)
{
    entry.route.state = RouteState::Releasing;
    entry.route.reason = reason;
    entry.releaseRevision = this->currentRevision + 1;
    this->releasingSet.insert(subject);
    this->raiseGrantVersion(subject, entry.route.upstream);
    std::visit([this](const auto &ref) { this->addChange(ref); }, subject);
}

bool RoutingState::removeUpstream(const UpstreamId &id)
{
    if (!this->upstreamMap.contains(id) || this->isInUse(id)) {
        return false;
    }
    this->upstreamMap.erase(id);
    this->addChange(id);
    return this->commitChange();
}

bool RoutingState::setDrained(const UpstreamId &id, bool drained, GroupTime now)
{
    const auto found = this->upstreamMap.find(id);
    if (found == this->upstreamMap.end() || found->second.drained == drained) {
        return false;
    }
    found->second.drained = drained;
    if (!drained) {
        found->second.upSince = now;
    }
    this->addChange(id);
    return this->commitChange();
}

bool RoutingState::setZoneOut(const std::string &zone, bool out)
{
    return this->setOverride(zoneOutPrefix + zone, out ? "true" : "");
}

bool RoutingState::setOverride(const std::string &name, const std::string &value)
{
    const auto found = this->settingMap.find(name);
    const bool present = found != this->settingMap.end();
    if (value.empty() ? !present : (present && found->second == value)) {
        return false;
    }
    if (value.empty()) {
        this->settingMap.erase(found);
    } else {
        this->settingMap.insert_or_assign(name, value);
    }
    this->addChange(UpstreamId {}); // an empty change, as each difference contains all overrides
    return this->commitChange();
}

bool RoutingState::assign(const AssignShards &command)
{
    for (const ShardAssignment &assignment : command.shards) {
        const ShardRef shard { command.service, assignment.shard };
        if (this->shardMap.contains(shard)
            || !this->upstreamMap.contains({ command.service, assignment.upstream })) {
            continue;
        }
        RouteEntry entry;
        entry.route = { RouteState::Owned, assignment.upstream, 1, MoveReason::Planned };
        this->shardMap.emplace(shard, std::move(entry));
        this->raiseGrantVersion(shard, assignment.upstream);
        this->addChange(shard);
    }
    return this->commitChange();
}

bool RoutingState::startMove(const StartMove &command, std::size_t movedKeyLimit)
{
    for (const ReleaseStart &move : command.moves) {
        this->startSingleMove(command, move, movedKeyLimit);
    }
    return this->commitChange();
}

bool RoutingState::startSingleMove(const StartMove &command, const ReleaseStart &move,
                                   std::size_t movedKeyLimit)
{
    const auto *key = std::get_if<KeyRef>(&move.subject);
    if (key != nullptr && move.epoch == 0 && !this->splitKey(*key, move, movedKeyLimit)) {
        return false;
    }
    RouteEntry *entry = this->mutableRoute(move.subject);
    if (entry == nullptr || (move.epoch != 0 && entry->route.epoch != move.epoch)) {
        return false;
    }
    const bool owned = entry->route.state == RouteState::Owned;
    const bool becomesLoss = entry->route.state == RouteState::Releasing
                             && entry->route.reason == MoveReason::Planned
                             && command.reason == MoveReason::Loss;
    const bool isOwnerAlready
            = owned && command.reason == MoveReason::Planned && entry->route.upstream == move.to;
    if ((!owned && !becomesLoss) || isOwnerAlready) {
        return false;
    }
    if (owned) {
        entry->plan = command.plan;
    }
    entry->to = move.to;
    this->release(move.subject, *entry, command.reason);
    return true;
}

// Adds a route for @p key, with the owner of its shard, so that the key can move alone.
bool RoutingState::splitKey(const KeyRef &key, const ReleaseStart &move, std::size_t movedKeyLimit)
{
    if (this->keyMap.contains(key) || this->keyMap.size() >= movedKeyLimit) {
        return false;
    }
    const auto found = this->shardMap.find({ key.service, move.shard });
    if (found == this->shardMap.end() || found->second.route.state != RouteState::Owned
        || found->second.route.upstream == move.to) {
        return false;
    }
    RouteEntry entry;
    entry.route = found->second.route;
    entry.route.epoch = this->keyEpochFloor + 1;
    entry.shard = move.shard;
    this->keyMap.emplace(key, std::move(entry));
    return true;
}

bool RoutingState::completeMove(const CompleteMove &command)
{
    for (const OwnerChange &move : command.moves) {
        this->completeSingleMove(move);
    }
    return this->commitChange();
}

bool RoutingState::completeSingleMove(const OwnerChange &move)
{
    RouteEntry *entry = this->mutableRoute(move.subject);
    const std::string &service = serviceOf(move.subject);
    if (entry == nullptr || entry->route.state != RouteState::Releasing
        || entry->route.epoch != move.epoch || !this->upstreamMap.contains({ service, move.to })) {
        return false;
    }
    this->raiseGrantVersion(move.subject, entry->route.upstream);
    entry->route = { RouteState::Owned, move.to, move.epoch + 1, MoveReason::Planned };
    entry->to.clear();
    entry->plan = 0;
    this->releasingSet.erase(move.subject);
    this->raiseGrantVersion(move.subject, move.to);
    std::visit([this](const auto &ref) { this->addChange(ref); }, move.subject);
    if (const auto *key = std::get_if<KeyRef>(&move.subject)) {
        this->mergeKey(*key);
    } else {
        this->mergeKeys(std::get<ShardRef>(move.subject));
    }
    return true;
}

// Merges the moved keys of @p shard that have its owner; see mergeKey().
void RoutingState::mergeKeys(const ShardRef &shard)
{
    std::vector<KeyRef> candidates;
    for (const auto &[key, entry] : this->keyMap) {
        if (key.service == shard.service && entry.shard == shard.shard) {
            candidates.push_back(key);
        }
    }
    for (const KeyRef &key : candidates) {
        this->mergeKey(key);
    }
}

// Removes the route of a moved key if its shard has the same owner, since the number of moved keys
// is bounded. Its epoch becomes the minimum for later moves of keys, so that no epoch is repeated.
bool RoutingState::mergeKey(const KeyRef &key)
{
    const auto entry = this->keyMap.find(key);
    const auto shard = this->shardMap.find({ key.service, entry->second.shard });
    if (shard == this->shardMap.end() || shard->second.route.state != RouteState::Owned
        || entry->second.route.state != RouteState::Owned
        || shard->second.route.upstream != entry->second.route.upstream) {
        return false;
    }
    this->keyEpochFloor = std::max(this->keyEpochFloor, entry->second.route.epoch);
    this->keyMap.erase(entry);
    this->raiseServiceGrantVersions(key.service);
    this->addChange(key);
    return true;
}

// Marks the grants as changed: of @p owner, or of all upstreams of the service for a moved key.
void RoutingState::raiseGrantVersion(const RouteSubject &subject, const std::string &owner)
{
    // Any upstream of the service may own the shard of the key, whose grant then lists the key as
    // moved away.
    if (std::holds_alternative<KeyRef>(subject)) {
        this->raiseServiceGrantVersions(serviceOf(subject));
        return;
    }
    const auto found = this->upstreamMap.find({ serviceOf(subject), owner });
    if (found != this->upstreamMap.end()) {
        found->second.grantVersion = this->currentRevision + 1;
    }
}

void RoutingState::raiseServiceGrantVersions(const std::string &service)
{
    for (auto &[id, entry] : this->upstreamMap) {
        if (id.service == service) {
            entry.grantVersion = this->currentRevision + 1;
        }
    }
}

RouteEntry *RoutingState::mutableRoute(const RouteSubject &subject)
{
    return findRoute(this->shardMap, this->keyMap, subject);
}

const RouteEntry *RoutingState::route(const RouteSubject &subject) const
{
    return findRoute(this->shardMap, this->keyMap, subject);
}

const UpstreamEntry *RoutingState::upstream(const UpstreamId &id) const
{
    const auto found = this->upstreamMap.find(id);
    return found == this->upstreamMap.end() ? nullptr : &found->second;
}

bool RoutingState::isZoneOut(const std::string &zone) const
{
    return this->settingMap.contains(zoneOutPrefix + zone);
}

bool RoutingState::accepts(const UpstreamEntry &entry) const
{
    return entry.state == UpstreamState::Up && !entry.drained && !entry.upstream.draining
           && !this->isZoneOut(entry.upstream.zone);
}

bool RoutingState::isInUse(const UpstreamId &id) const
{
    const auto uses = [&id](const auto &routes) {
        return std::any_of(routes.begin(), routes.end(), [&id](const auto &item) {
            return item.first.service == id.service
                   && (item.second.route.upstream == id.name || item.second.to == id.name);
        });
    };
    return uses(this->shardMap) || uses(this->keyMap);
}

RouteDelta RoutingState::deltaSince(Revision since) const
{
    const auto changes = this->history.changesSince(since, this->currentRevision);
    if (since == 0 || !changes) {
        return RouteDeltaBuilder::complete(*this);
    }
    return RouteDeltaBuilder::difference(*this, since, *changes);
}

void RoutingState::collectReleasing()
{
    const auto collect = [this](const auto &routes) {
        for (const auto &[ref, entry] : routes) {
            if (entry.route.state == RouteState::Releasing) {
                this->releasingSet.insert(ref);
            }
        }
    };
    collect(this->shardMap);
    collect(this->keyMap);
}

} // namespace cassiaroad
