#pragma once

#include "version/registrystate.h"

namespace cassiaroad {

/** An upstream that gateways may send requests to. */
struct RoutedUpstream
{
    SiteUpstream upstream;
    bool silent = false; // its heartbeats do not arrive
    bool warming = false; // is slow after its start

    bool operator==(const RoutedUpstream &) const = default;
};

enum class RangePhase {
    Owned, // the upstream holds the keys
    Releasing, // the keys change owner: requests wait
    Pending, // as Releasing; the new owner has not been granted the keys yet
};

/** Keys of a service and the upstream that holds or gets them. */
struct RoutedRange
{
    KeyRange range;
    std::string upstream; // id
    RangePhase phase = RangePhase::Owned;

    bool operator==(const RoutedRange &) const = default;
};

/** Ranges by service, ascending. */
using RoutedRanges = std::map<std::string, std::vector<RoutedRange>>;

/** Where gateways send requests. Immutable after it was built. */
struct RoutingTable
{
    std::vector<RoutedUpstream> upstreams;
    RoutedRanges ranges; // of keyed services

    bool operator==(const RoutingTable &) const = default;

    /** Returns the range of @p key, or null if nobody has it. */
    const RoutedRange *find(const std::string &service, KeyNumber key) const;
};

} // namespace cassiaroad
