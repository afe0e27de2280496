#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Number of a state of the routing data; each change raises it by one. */
using Revision = std::uint64_t;
/** Number of an owner of a shard or moved key; each change of owner raises it. */
using Epoch = std::uint64_t;

/** Identifies an upstream within a control group. */
struct UpstreamId
{
    std::string service;
    std::string name;

    auto operator<=>(const UpstreamId &) const = default;
};

/** Properties that an upstream has announced. */
struct Upstream
{
    UpstreamId id;
    std::string zone;
    std::string address; // "ip:port"
    std::uint32_t slots = 0; // requests that it processes at the same time
    std::uint32_t connections = 0;
    bool checksGrants = false;
    std::string instance; // chosen by the upstream at each start
    bool draining = false;

    bool operator==(const Upstream &) const = default;
};

/** Whether a shard or moved key has an owner, and whether that owner is releasing it. */
enum class RouteState { Unassigned, Owned, Releasing };

/** Why an owner changes. */
enum class MoveReason { Planned, Loss };

/** Owner of one shard or one moved key. */
struct Route
{
    RouteState state = RouteState::Unassigned;
    std::string upstream; // owner, also while it releases
    Epoch epoch = 0; // raised by each change of owner
    MoveReason reason = MoveReason::Planned; // only valid in the state Releasing

    bool operator==(const Route &) const = default;
};

/** Identifies a shard of a service. */
struct ShardRef
{
    std::string service;
    std::uint32_t shard = 0;

    auto operator<=>(const ShardRef &) const = default;
};

/** Identifies a key of a service. */
struct KeyRef
{
    std::string service;
    std::string key;

    auto operator<=>(const KeyRef &) const = default;
};

/** Difference between two revisions of a route table. */
struct RouteDelta
{
    Revision fromRevision = 0; // 0: a complete table
    Revision toRevision = 0;
    std::vector<Upstream> upstreams;
    std::vector<UpstreamId> removedUpstreams;
    std::vector<std::pair<ShardRef, Route>> shards;
    std::vector<std::pair<KeyRef, Route>> keys;
    std::vector<KeyRef> removedKeys;
    std::map<std::string, std::string> settings; // all overrides, not only the changed ones

    bool operator==(const RouteDelta &) const = default;
};

/** Result of a lookup: the route and, if there is an owner, what it has announced. */
struct RouteLookup
{
    Route route;
    bool movedKey = false; // whether the route is that of the key, not of its shard
    std::uint32_t shard = 0;
    const Upstream *upstream = nullptr; // valid as long as the table exists
};

/** Hashes a key to a shard number below @p shards (a power of two) with XXH3. Thread-safe. */
std::uint32_t shardOfKey(std::string_view key, std::uint32_t shards);

/** Index of the home region of a shard among @p regionCount regions. Thread-safe. */
std::uint32_t homeRegionOfShard(std::uint32_t shard, std::uint32_t regionCount);

/** Routing part of the control state at one revision. Immutable; safe to read from any thread. */
class RouteTable
{
public:
    RouteTable() = default;

    /**
     * Returns the table that results from @p delta, or no table if the delta starts at another
     * revision or ends at an older one than this table has.
     */
    std::shared_ptr<const RouteTable> apply(const RouteDelta &delta) const;

    Revision revision() const { return this->tableRevision; }

    /** Looks up @p key; @p shards is the shard count of the service. */
    RouteLookup lookup(std::string_view service, std::string_view key, std::uint32_t shards) const;

    const std::map<UpstreamId, Upstream> &upstreams() const { return this->upstreamMap; }
    const std::map<ShardRef, Route> &shardRoutes() const { return this->shardMap; }
    const std::map<KeyRef, Route> &keyRoutes() const { return this->keyMap; }
    const std::map<std::string, std::string> &settings() const { return this->settingMap; }

private:
    Revision tableRevision = 0;
    std::map<UpstreamId, Upstream> upstreamMap;
    std::map<ShardRef, Route> shardMap;
    std::map<KeyRef, Route> keyMap;
    std::map<std::string, std::string> settingMap;
};

} // namespace cassiaroad
