#pragma once

#include "version/command.h"
#include "version/routehistory.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cassiaroad {

/** A registered upstream. */
struct UpstreamEntry
{
    Upstream upstream;
    UpstreamState state = UpstreamState::Up;
    bool drained = false; // taken out of service by a plan
    GroupTime upSince = 0; // when it was registered, restarted or taken back
    Revision grantVersion = 0; // revision of the last change of its grants
    std::vector<std::string> formerInstances; // latest last; they get no grants again

    bool operator==(const UpstreamEntry &) const = default;
};

/** Route of a subject with what only the control group needs to know. */
struct RouteEntry
{
    Route route;
    std::string to; // new owner while releasing; empty: chosen at completion
    PlanNumber plan = 0; // plan that started the release; 0: none
    Revision releaseRevision = 0; // revision at which the release, or its present reason, began
    std::uint32_t shard = 0; // of a moved key: the shard it belongs to by its hash

    bool operator==(const RouteEntry &) const = default;
};

/**
 * The routing part of the control state: upstreams, owners of shards and moved keys, settings.
 * Every changing method raises the revision by one if it changes anything, and returns whether it
 * did. Not thread-safe.
 */
class RoutingState
{
public:
    Revision revision() const { return this->currentRevision; }
    RouteDelta deltaSince(Revision since) const;

    bool registerUpstream(const Upstream &upstream, GroupTime now);
    bool changeUpstream(const Upstream &upstream, UpstreamState state, GroupTime now);
    bool removeUpstream(const UpstreamId &id);
    bool setDrained(const UpstreamId &id, bool drained, GroupTime now);
    bool setZoneOut(const std::string &zone, bool out);
    bool setOverride(const std::string &name, const std::string &value);
    bool assign(const AssignShards &command);

    /** @p movedKeyLimit bounds the moved keys; a key beyond it is left alone. */
    bool startMove(const StartMove &command, std::size_t movedKeyLimit);
    bool completeMove(const CompleteMove &command);

    const std::map<UpstreamId, UpstreamEntry> &upstreams() const { return this->upstreamMap; }
    const std::map<ShardRef, RouteEntry> &shards() const { return this->shardMap; }
    const std::map<KeyRef, RouteEntry> &keys() const { return this->keyMap; }

    /** Subjects that are releasing, in order. */
    const std::set<RouteSubject> &releasing() const { return this->releasingSet; }

    /** Overridden settings by name, including "zone-out.<zone>" for zones out of service. */
    const std::map<std::string, std::string> &overrides() const { return this->settingMap; }

    bool zoneOut(const std::string &zone) const;

    /** Returns the entry of an upstream, or nullptr. Valid until the next change. */
    const UpstreamEntry *upstream(const UpstreamId &id) const;

    /** Returns the entry of a subject, or nullptr. Valid until the next change. */
    const RouteEntry *route(const RouteSubject &subject) const;

    /** Whether an upstream may be given shards: up, not draining, not drained, zone in service. */
    bool accepts(const UpstreamEntry &entry) const;

    /** Whether an upstream owns anything or is the target of a change of owner. */
    bool inUse(const UpstreamId &id) const;

private:
    friend class ControlStateCodec;

    void collectReleasing();
    RouteEntry *mutableRoute(const RouteSubject &subject);
    void touchGrants(const RouteSubject &subject, const std::string &owner);
    void touchService(const std::string &service);
    void changed(const RouteChange &change) { this->pending.push_back(change); }
    bool commitChange();
    void replaceInstance(UpstreamEntry &entry, const std::string &instance);
    bool startOne(const StartMove &command, const ReleaseStart &move, std::size_t movedKeyLimit);
    bool splitKey(const KeyRef &key, const ReleaseStart &move, std::size_t movedKeyLimit);
    bool completeOne(const OwnerChange &move);
    void mergeKeys(const ShardRef &shard);
    bool mergeKey(const KeyRef &key);
    void release(const RouteSubject &subject, RouteEntry &entry, MoveReason reason);
    void releaseAll(const UpstreamId &owner);

    Revision currentRevision = 0;
    std::map<UpstreamId, UpstreamEntry> upstreamMap;
    std::map<ShardRef, RouteEntry> shardMap;
    std::map<KeyRef, RouteEntry> keyMap;
    std::map<std::string, std::string> settingMap;
    std::set<RouteSubject> releasingSet;
    Epoch keyEpochFloor = 0; // highest epoch of a key that is no longer moved
    std::vector<RouteChange> pending;
    RouteHistory history;
};

} // namespace cassiaroad
