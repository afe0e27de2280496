#pragma once

#include "version/routingtable.h"

#include <optional>

namespace cassiaroad {

/** Requests for one key since the previous report of a gateway. */
struct KeyRequestCount
{
    std::string service;
    KeyNumber key = 0;
    std::uint32_t requests = 0;

    bool operator==(const KeyRequestCount &) const = default;
};

/** Requests that an upstream answered without a queue, since the previous report of a gateway. */
struct UpstreamTiming
{
    std::string upstream; // id
    std::uint32_t requests = 0;
    std::uint64_t milliseconds = 0; // sum of their durations at the upstream

    bool operator==(const UpstreamTiming &) const = default;
};

/** What a gateway tells the leader when it asks for changes. */
struct GatewayReport
{
    std::string gateway;
    std::string zone;
    std::uint64_t tableTag = 0; // of the routing table that it has; 0: none
    ConfigurationVersion version = 0; // of the configuration that it has
    std::uint32_t requests = 0; // since the previous report
    std::vector<KeyRequestCount> keys;
    std::vector<UpstreamTiming> timings;

    bool operator==(const GatewayReport &) const = default;
};

/** What has changed for a gateway. */
struct GatewayUpdate
{
    std::uint64_t tableTag = 0;
    std::uint64_t fromTag = 0; // of the table that the change applies to; 0: the empty one
    std::optional<std::string> change; // if the gateway has another table; a RoutingChange
    ConfigurationVersion version = 0;
    ConfigurationVersion documentBase = 0; // that the document is a delta to; 0: it is whole
    // If the gateway has an older one; see packText() and textDelta().
    std::optional<std::string> document;
    double trafficShare = 1.0; // of this gateway in the requests of all
    std::uint32_t gateways = 1;
    Milliseconds hold { 400 }; // longest time that the next call may wait for a change

    bool operator==(const GatewayUpdate &) const = default;
};

/** Sent instead of an update, and to processes that look for the group. */
struct GroupHint
{
    bool groupExists = false;
    std::string leaderIp; // empty: unknown
    std::map<std::uint32_t, std::string> members; // ip by slot
    std::uint32_t slot = 0; // given to the process that asked; 0: none

    bool operator==(const GroupHint &) const = default;
};

using GatewayWatchReply = std::variant<GroupHint, GatewayUpdate>;

/** A control host that looks for the group, and for a slot in it. */
struct JoinRequest
{
    std::string ip;
    bool wantsSlot = false;

    bool operator==(const JoinRequest &) const = default;
};

// CBOR forms; a decoder returns nothing if the bytes do not hold such a value. Thread-safe.
std::string encode(const GatewayReport &report);
std::string encode(const GatewayWatchReply &answer);
std::string encode(const GroupHint &hint);
std::string encode(const JoinRequest &request);
std::optional<GatewayReport> decodeGatewayReport(std::string_view bytes);
std::optional<GatewayWatchReply> decodeGatewayWatchReply(std::string_view bytes);
std::optional<GroupHint> decodeGroupHint(std::string_view bytes);
std::optional<JoinRequest> decodeJoinRequest(std::string_view bytes);

} // namespace cassiaroad
