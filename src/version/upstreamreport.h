#pragma once

#include "process/clock.h"
#include "process/settings.h"
#include "version/keyrange.h"

#include <vector>

namespace cassiaroad {

/** A range that an upstream holds, or is to hold. */
struct RangeLease
{
    KeyRange range;
    FencingToken fence = 0;
    std::string handover; // from the last holder; empty: none

    bool operator==(const RangeLease &) const = default;
};

/** A range that an upstream has released since its last acknowledged heartbeat. */
struct RangeRelease
{
    KeyRange range;
    std::string handover; // lets the next holder take over without a slow start

    bool operator==(const RangeRelease &) const = default;
};

/** A heartbeat of an upstream. */
struct UpstreamReport
{
    UpstreamIncarnation life;
    std::string service;
    HostAddress address;
    std::string zone;
    std::uint32_t slots = 1; // requests that it processes at the same time
    bool draining = false;
    std::uint64_t sequence = 0; // ascending within a life
    Milliseconds warmupLeft { 0 }; // how much longer it is slow after its start
    std::vector<RangeLease> leases; // without handovers
    std::vector<RangeRelease> releases;

    bool operator==(const UpstreamReport &) const = default;
};

/** Answer to a heartbeat. */
struct HeartbeatResponse
{
    bool keyed = false; // otherwise the answer says nothing of holds
    std::vector<RangeLease> leases; // everything that the upstream is to hold
    Milliseconds hold { 0 }; // counted from the moment the heartbeat was sent
    HostAddress nextAddress; // for later heartbeats; port 0: none

    bool operator==(const HeartbeatResponse &) const = default;
};

} // namespace cassiaroad
