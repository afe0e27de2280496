#pragma once

#include "gateway/gatewaycore.h"

#include <variant>

namespace cassiaroad {

/** What a request needs of an upstream. The references must be valid during the call. */
struct UpstreamQuery
{
    const std::string &service;
    std::optional<KeyNumber> key; // only of a service with keys
    const HomeRegions &homes; // regions in which the request may be served
    const std::vector<std::string> &tried; // ids of upstreams to avoid; not for requests with a key
    bool acceptsSuspected = false; // an owner that has stopped responding is used all the same
};

/** The request can be submitted to this upstream. */
struct SelectedUpstream
{
    std::shared_ptr<GatewayUpstream> upstream;
};

/** The gateway has not received a routing table. */
struct NoRoutingTable
{
    static constexpr const char *reason = "no routing table yet";
};

/** No upstream owns the key, or its owner may get no more requests. */
struct KeyWithoutOwner
{
    static constexpr const char *reason = "key has no owner";
};

/** All upstreams of the service are in evacuated zones. */
struct ServiceEvacuated
{
    static constexpr const char *reason = "all upstreams are evacuated";
};

/** No upstream that may be given work is in the home regions of the request. */
struct NoUpstreamAtHome
{
    static constexpr const char *reason = "no upstream in the home regions";
};

/** The owner of the key has stopped responding. */
struct SuspectedOwner
{
    static constexpr const char *reason = "owner does not answer";
};

/** The upstream that would be used has asked for a pause. */
struct PausedUpstream
{
    static constexpr const char *reason = "upstream has asked for a pause";
    Milliseconds timeLeft;
};

/** The upstream that would be used is full, and this gateway has used its share. */
struct PacedUpstream
{
    static constexpr const char *reason = "upstream has no capacity";
    std::shared_ptr<GatewayUpstream> upstream;
};

/** The upstream that would be used is cold, and there is no permit for a request to it. */
struct ColdUpstream
{
    static constexpr const char *reason = "upstream has no capacity";
    std::shared_ptr<GatewayUpstream> upstream;
};

/** No upstream without a key is left. */
struct NoUpstream
{
    static constexpr const char *reason = "no upstream left";
};

using UpstreamSelection = std::variant<SelectedUpstream, NoRoutingTable, KeyWithoutOwner,
                                       ServiceEvacuated, NoUpstreamAtHome, SuspectedOwner,
                                       PausedUpstream, PacedUpstream, ColdUpstream, NoUpstream>;

/** Selects the upstream for a request. Loop thread only. */
UpstreamSelection selectUpstream(GatewayCore &core, const UpstreamQuery &query);

/**
 * Selects the owner of the key of a request. Changes nothing. Loop thread only. Preconditions: the
 * request has a key, and there is a routing table.
 */
UpstreamSelection selectOwner(const GatewayCore &core, const UpstreamQuery &query);

/**
 * Returns why no upstream can be chosen for a request without a key: the selection if
 * GatewayCore::chooseUpstream() finds none. Changes nothing. Loop thread only. Precondition: there
 * is a routing table.
 */
UpstreamSelection selectWithoutChoice(const GatewayCore &core, const UpstreamQuery &query);

/** Returns how long a request has to wait for its upstream, if it has one that is not to be used.
 */
std::optional<Milliseconds> waitOf(const GatewayCore &core, const UpstreamSelection &selection);

/**
 * Whether @p upstream, which was selected for the request earlier, may still get it. Must be asked
 * again before the first byte is written, with the home regions that bind the request then. Loop
 * thread only.
 */
bool maySendTo(const GatewayCore &core, const std::shared_ptr<GatewayUpstream> &upstream,
               const UpstreamQuery &query);

} // namespace cassiaroad
