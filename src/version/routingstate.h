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
    bool drained = false; // out of service by a plan
    GroupTime upSince = 0; // when it was registered, was restarted or was back in service
    Revision grantVersion = 0; // revision of the last change of its grants
    std::vector<std::string> formerInstances; // latest last; they are not granted anything again

    bool operator==(const UpstreamEntry &) const = default;
};

/** Route of a subject with the data that only the control group needs. */
struct RouteEntry
{
    Route route;
    std::string to; // new owner while releasing; empty: chosen at completion
    PlanNumber plan = 0; // plan that started the release; 0: none
    Revision releaseRevision = 0; // that started the release or set its present reason
    std::uint32_t shard = 0; // of a moved key: its shard by its hash

    bool operator==(const RouteEntry &) const = default;
};

/**
 * Routing part of the control state: upstreams, owners of shards and moved keys, and overridden
 * settings. Each method that changes something raises the revision by one, and returns whether it
 * did. Not thread-safe.
 */
class RoutingState
{
public:
    Revision revision() const { return this->currentRevision; }
    /** Returns the difference from revision @p since to the present one, or the complete table. */
    RouteDelta deltaSince(Revision since) const;

    /** Adds an upstream that is not registered yet. */
    bool registerUpstream(const Upstream &upstream, GroupTime now);
    /**
     * Replaces the data of a registered upstream. Ignores former instances; a new instance makes
     * the upstream release everything that it owns.
     */
    bool changeUpstream(const Upstream &upstream, UpstreamState state, GroupTime now);
    /** Removes an upstream that is not in use; see isInUse(). */
    bool removeUpstream(const UpstreamId &id);
    /** Takes an upstream out of service, or back. */
    bool setDrained(const UpstreamId &id, bool drained, GroupTime now);
    /** Takes an availability zone out of service, or back. */
    bool setZoneOut(const std::string &zone, bool out);
    /** Overrides a setting; an empty @p value removes the override. */
    bool setOverride(const std::string &name, const std::string &value);
    /** Assigns shards that have no route yet to registered upstreams. */
    bool assign(const AssignShards &command);

    /**
     * Starts the release of shards and keys. @p movedKeyLimit is the upper bound of the number of
     * moved keys; a key beyond it is not moved.
     */
    bool startMove(const StartMove &command, std::size_t movedKeyLimit);
    /** Assigns subjects that are releasing to their new owners. */
    bool completeMove(const CompleteMove &command);

    const std::map<UpstreamId, UpstreamEntry> &upstreams() const { return this->upstreamMap; }
    const std::map<ShardRef, RouteEntry> &shards() const { return this->shardMap; }
    const std::map<KeyRef, RouteEntry> &keys() const { return this->keyMap; }

    /** Subjects that are releasing, in order. */
    const std::set<RouteSubject> &releasing() const { return this->releasingSet; }

    /** Overridden settings by name, including "zone-out.<zone>" for zones out of service. */
    const std::map<std::string, std::string> &overrides() const { return this->settingMap; }

    /** Whether an availability zone is out of service. */
    bool isZoneOut(const std::string &zone) const;

    /** Returns the entry of an upstream, or nullptr. Valid until the next change. */
    const UpstreamEntry *upstream(const UpstreamId &id) const;

    /** Returns the entry of a subject, or nullptr. Valid until the next change. */
    const RouteEntry *route(const RouteSubject &subject) const;

    /**
     * Whether an upstream may be assigned shards: it is up, neither draining nor drained, and its
     * availability zone is in service.
     */
    bool accepts(const UpstreamEntry &entry) const;

    /** Whether an upstream owns a shard or moved key, or is to be the new owner of one. */
    bool isInUse(const UpstreamId &id) const;

private:
    friend class ControlStateCodec;

    void collectReleasing();
    RouteEntry *mutableRoute(const RouteSubject &subject);
    void raiseGrantVersion(const RouteSubject &subject, const std::string &owner);
    void raiseServiceGrantVersions(const std::string &service);
    void addChange(const RouteChange &change) { this->pending.push_back(change); }
    bool commitChange();
    void replaceInstance(UpstreamEntry &entry, const std::string &instance);
    bool startSingleMove(const StartMove &command, const ReleaseStart &move,
                         std::size_t movedKeyLimit);
    bool splitKey(const KeyRef &key, const ReleaseStart &move, std::size_t movedKeyLimit);
    bool completeSingleMove(const OwnerChange &move);
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
    Epoch keyEpochFloor = 0; // highest epoch of the keys that were merged into their shards
    std::vector<RouteChange> pending; // changed since the present revision
    RouteHistory history;
};

} // namespace cassiaroad
