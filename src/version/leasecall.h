#pragma once

#include "version/upstreamreport.h"

#include <variant>

namespace cassiaroad {

/** Grants a lease to an upstream, or renews it. */
struct GrantCall
{
    RangeLease lease;
    Milliseconds duration; // from the arrival of the call, by the clock of the upstream

    bool operator==(const GrantCall &) const = default;
};

/**
 * Takes a lease, or a part of one, back from an upstream. The upstream accepts no more requests for
 * the range at once, and responds when those in progress have ended.
 */
struct ReleaseCall
{
    KeyRange range;
    FencingToken fence = 0;

    bool operator==(const ReleaseCall &) const = default;
};

using LeaseCallBody = std::variant<GrantCall, ReleaseCall>;

/** A call of the leader to an upstream that receives its leases by calls. */
struct LeaseCall
{
    std::uint64_t number = 0; // of this call; ascending within a term
    UpstreamIncarnation upstream;
    HostAddress address;
    LeaseCallBody body;
    Milliseconds timeout; // after which its connection has to be reset

    bool operator==(const LeaseCall &) const = default;
};

// How a call ended.

/** The upstream has done what was asked. */
struct LeaseCallAccepted
{
    std::string handover; // of a release: state for the next owner; empty: none

    bool operator==(const LeaseCallAccepted &) const = default;
};

/** The upstream has seen a higher fencing token on one of the keys. */
struct LeaseCallRefused
{
    bool operator==(const LeaseCallRefused &) const = default;
};

/** The connection was not opened, so the call has not arrived. */
struct LeaseCallNotSent
{
    bool operator==(const LeaseCallNotSent &) const = default;
};

/** The connection broke, or the response makes no sense. The upstream may have done it. */
struct LeaseCallBroken
{
    bool operator==(const LeaseCallBroken &) const = default;
};

/** No response has arrived in time. The upstream may have done it, or may do it later. */
struct LeaseCallTimedOut
{
    bool operator==(const LeaseCallTimedOut &) const = default;
};

using LeaseCallResult = std::variant<LeaseCallAccepted, LeaseCallRefused, LeaseCallNotSent,
                                     LeaseCallBroken, LeaseCallTimedOut>;

} // namespace cassiaroad
