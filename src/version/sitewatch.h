#pragma once

#include "version/crashledger.h"
#include "version/gatewayplacement.h"
#include "version/memberlist.h"
#include "version/routingtable.h"

#include <optional>

namespace cassiaroad {

/**
 * How long a gateway may use GatewayUpdate::gateways, from the time at which the leader made the
 * update. A gateway without a report for longer uses no part of what gateways divide by it.
 */
constexpr Milliseconds gatewayCountLease { 5000 };

/**
 * With this many gateways, each still learns in time from its own requests how an upstream answers.
 * On larger sites gateways use fewer upstreams each, and what the leader knows of them.
 */
constexpr std::size_t gatewaysWithFullKnowledge = 16;

/** Requests for one key since the previous report of a gateway. */
struct KeyRequestCount
{
    std::string service;
    KeyNumber key = 0;
    std::uint32_t requests = 0;

    bool operator==(const KeyRequestCount &) const = default;
};

/**
 * Requests that an upstream processed without queueing them, since the previous report of a
 * gateway.
 */
struct UpstreamTiming
{
    std::string upstream; // id
    std::uint32_t requests = 0;
    std::uint64_t milliseconds = 0; // sum of their durations at the upstream

    bool operator==(const UpstreamTiming &) const = default;
};

/** Report of a gateway to the leader; the request of its watch call. */
struct GatewayReport
{
    std::string gateway;
    std::string zone;
    std::uint64_t tableTag = 0; // of its present routing table; 0: none
    ConfigurationVersion version = 0; // of its present configuration; 0: none
    std::uint32_t gateways = 0; // GatewayUpdate::gateways of its last update; 0: none
    std::uint32_t requests = 0; // since the previous report
    std::vector<KeyRequestCount> keys;
    std::vector<UpstreamTiming> timings;
    // Upstreams that have said in a response that they leave, and are ready in the routing table.
    std::vector<UpstreamIncarnation> leaving;
    std::vector<BrokenAttempt> broken; // that no leader has confirmed yet
    std::vector<RequestDigest> answered; // suspect requests that an upstream has answered since
    std::uint64_t suspectsTag = 0; // of the leader's suspect requests that it received last
    // Revision of the list of members that it knows; 0: none. Nothing: the gateway takes no list.
    std::optional<std::uint64_t> membersRevision;
    // The gateway only asks whether the receiver leads. The leader replies at once with an update
    // that has no changes, and takes nothing from the report.
    bool isSearch = false;
    std::uint32_t placementTag = 0; // tagOf() the last placement that it received
    // Blocked requests of which the gateway has one that it could try; see
    // CrashLedger::grantTrial().
    std::vector<RequestDigest> trials;

    bool operator==(const GatewayReport &) const = default;
};

/** Changes of the routing table and the configuration; a reply to the watch call of a gateway. */
struct GatewayUpdate
{
    std::uint64_t tableTag = 0; // of the present routing table
    std::uint64_t fromTag = 0; // of the table that the change applies to; 0: the empty table
    std::optional<std::string> change; // encoded RoutingChange; only if the gateway needs it
    ConfigurationVersion version = 0; // of the present configuration
    ConfigurationVersion documentBase = 0; // version that the delta applies to; 0: complete
    // Configuration document or a delta to it, if the gateway has an older one; see packText() and
    // textDelta().
    std::optional<std::string> document;
    double trafficShare = 1.0; // see RegistryManager::trafficShare()
    std::uint32_t gateways = 1; // see RegistryManager::gatewayCount()
    std::uint64_t suspectsTag = 0; // of the present suspect requests; 0: none
    // All of them, if the gateway has others; see CrashLedger::suspects().
    std::optional<std::vector<SuspectRequest>> suspects;
    std::optional<MemberList> members; // only if the gateway has another revision
    Milliseconds watchTimeout { 400 }; // how long the next call may wait for a change
    Milliseconds waited; // how long the call waited at the leader before this reply was made
    // For how long the leader has had changes that the present routing table does not show, when it
    // made this reply; 0: it shows all of them.
    Milliseconds tableAge;
    // Only if the gateway has another one. Earlier versions of the leader send none.
    std::optional<GatewayPlacement> placement;

    bool operator==(const GatewayUpdate &) const = default;
};

/**
 * What the sender knows of the control group. Sent instead of an update, and to processes that
 * search for the group.
 */
struct GroupHint
{
    bool groupExists = false;
    std::string leaderIp; // empty: unknown
    std::map<std::uint32_t, std::string> members; // IP address by slot
    std::uint64_t membersRevision = 0; // see MemberList
    std::uint32_t slot = 0; // assigned to the process that requested one; 0: none

    bool operator==(const GroupHint &) const = default;
};

using GatewayWatchReply = std::variant<GroupHint, GatewayUpdate>;

/** Request of a control host that searches for the group, and for a slot in it. */
struct JoinRequest
{
    std::string ip;
    bool wantsSlot = false;

    bool operator==(const JoinRequest &) const = default;
};

/** Returns a digest of @p suspects without their ages; 0 if there are none. Thread-safe. */
std::uint64_t tagOf(std::vector<SuspectRequest> suspects);

// Encoding as CBOR. A decoder returns nothing if the bytes do not encode such a value. Thread-safe.
std::string encode(const GatewayReport &report);
std::string encode(const GatewayWatchReply &reply);
std::string encode(const GroupHint &hint);
std::string encode(const JoinRequest &request);
std::optional<GatewayReport> decodeGatewayReport(std::string_view bytes);
std::optional<GatewayWatchReply> decodeGatewayWatchReply(std::string_view bytes);
std::optional<GroupHint> decodeGroupHint(std::string_view bytes);
std::optional<JoinRequest> decodeJoinRequest(std::string_view bytes);

} // namespace cassiaroad
