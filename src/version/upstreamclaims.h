#pragma once

#include "version/registrystate.h"
#include "version/siteconfiguration.h"
#include "version/upstreammonitor.h"

#include <set>
#include <vector>

namespace cassiaroad {

// Heartbeats name their own sender, so any of them may come from another writer, or arrive seconds
// late. This module decides what one proves about the incarnations that the registry knows.

/** What is known when a heartbeat arrives. The references must be valid during the call. */
struct KnownUpstreams
{
    const RegistryState &state;
    const UpstreamMonitor &monitor;
    const SiteConfiguration *configuration = nullptr; // null: none is in force yet
    Milliseconds heartbeatInterval;
    TimePoint now;
};

/** What the sender of a heartbeat is to the registered incarnation of its id. */
enum class ClaimKind {
    Registered, // it is that incarnation, at the same address and of the same service
    New, // no incarnation is registered under its id
    Restart, // it proves that the registered incarnation has ended, and so have its leases
    TakeOver, // the registered incarnation is silent; its leases may still be valid
    RestartClaimed, // as Restart, but it is not proven yet
    Contested, // the registered incarnation may be up, and this is no restart of it
    Outdated, // as Contested, and the sender started earlier
    Foreign, // the configuration names no such service
};

/** Meaning of a heartbeat. */
struct UpstreamClaim
{
    ClaimKind kind = ClaimKind::Registered;
    /**
     * A later incarnation has the id or the address, so the heartbeat may be a late one. It counts
     * only if its sender goes on; see UpstreamMonitor::acceptDoubted().
     */
    bool doubted = false;

    bool operator==(const UpstreamClaim &) const = default;
};

/**
 * Returns the meaning of @p report. Precondition: the monitor has not recorded it yet, and records
 * only reports that change something or claim a restart.
 *
 * Only ClaimKind::Restart ends leases before they run out. It takes two heartbeats of a later
 * incarnation of the same id, service and address, at least half a heartbeat interval apart and
 * without leases; and the registered incarnation, which was heard in this term, has given no sign
 * of life since the first of them and for more than one interval. A start time alone proves
 * nothing, since it may be wrong. Pure.
 */
UpstreamClaim claimOf(const UpstreamReport &report, const KnownUpstreams &known);

/** Returns the commands that register the sender of @p report. Pure. */
std::vector<RegistryCommand> registrationCommands(const UpstreamReport &report, ClaimKind kind,
                                                  const RegistryState &state);

/**
 * Returns the registered upstreams at the address of @p report that started before its sender, the
 * sender's own id included.
 */
std::vector<SiteUpstream> earlierAtAddress(const UpstreamReport &report,
                                           const RegistryState &state);

/**
 * Returns the silent upstreams whose address a later incarnation that is up has. Takes one pass
 * over the upstreams, also if many are silent. Pure.
 */
std::set<UpstreamIncarnation> supersededUpstreams(const KnownUpstreams &known);

} // namespace cassiaroad
