#pragma once

#include "version/registrystate.h"

namespace cassiaroad {

/** Value of RoutedUpstream::admitted with which gateways start all requests. */
constexpr std::uint16_t wholeShare = 1000;

/** Shortest interval between two changes of admitted shares, which change the routing table. */
constexpr Milliseconds shareStepInterval { 500 };

/** An upstream that gateways may send requests to. */
struct RoutedUpstream
{
    SiteUpstream upstream;
    bool silent = false; // its heartbeats do not arrive
    bool warming = false; // still warming up after its start
    // Share in thousandths of the requests for it that gateways start there, as the leader has
    // decided for a cold or recovering upstream. Nothing: no decision.
    std::optional<std::uint16_t> admitted = std::nullopt;

    bool operator==(const RoutedUpstream &) const = default;
};

/** Whether the owner of a range may be sent requests. */
enum class RangePhase {
    Owned, // the upstream owns the keys
    Releasing, // the keys change their owner; requests wait
    Pending, // requests wait; the new owner has no lease on the keys yet
};

/** Keys of a service and the upstream that owns them or is to own them. */
struct RoutedRange
{
    KeyRange range;
    std::string upstream; // id
    RangePhase phase = RangePhase::Owned;

    bool operator==(const RoutedRange &) const = default;
};

/** Ranges by service, ascending. */
using RoutedRanges = std::map<std::string, std::vector<RoutedRange>>;

/** Upstreams and owners of key ranges, as gateways use them. Immutable after it was built. */
struct RoutingTable
{
    std::vector<RoutedUpstream> upstreams;
    RoutedRanges ranges; // of keyed services
    std::set<std::string> evacuatedZones; // whose upstreams get no requests

    bool operator==(const RoutingTable &) const = default;

    /** Returns the range that contains @p key, or null if no upstream owns it. */
    const RoutedRange *find(const std::string &service, KeyNumber key) const;

    /**
     * Whether evacuations leave @p service without an upstream: it has upstreams in evacuated
     * zones, and none in other zones that may be given work.
     */
    bool isEvacuated(const std::string &service) const;
};

} // namespace cassiaroad
