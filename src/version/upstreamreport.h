#pragma once

#include "process/clock.h"
#include "process/settings.h"
#include "version/keyrange.h"

#include <vector>

namespace cassiaroad {

/** Lease of an upstream on a range. */
struct RangeLease
{
    KeyRange range;
    FencingToken fence = 0;
    std::string handover; // state from the previous owner; empty: none

    bool operator==(const RangeLease &) const = default;
};

/** A range that an upstream has released since its last heartbeat that got a response. */
struct RangeRelease
{
    KeyRange range;
    std::string handover; // state with which the next owner needs no warm-up

    bool operator==(const RangeRelease &) const = default;
};

/** Content of a heartbeat of an upstream. */
struct UpstreamReport
{
    UpstreamIncarnation incarnation;
    std::string service;
    HostAddress address;
    std::string zone;
    std::uint32_t slots = 1; // requests that it processes at the same time
    bool draining = false;
    std::uint64_t sequence = 0; // ascending within an incarnation
    Milliseconds warmupLeft { 0 }; // time until it has warmed up after its start
    std::vector<RangeLease> leases; // that it has; without handovers
    std::vector<RangeRelease> releases;

    bool operator==(const UpstreamReport &) const = default;
};

/** Response to a heartbeat. */
struct HeartbeatResponse
{
    bool keyed = false; // whether the response contains leases; if not, `leases` means nothing
    std::vector<RangeLease> leases; // all of the upstream; it releases any other range
    Milliseconds leaseDuration { 0 }; // from the moment the heartbeat was sent
    HostAddress nextAddress; // where to send later heartbeats; port 0: no change

    bool operator==(const HeartbeatResponse &) const = default;
};

} // namespace cassiaroad
