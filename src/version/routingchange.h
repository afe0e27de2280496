#pragma once

#include "version/routingtable.h"

#include <optional>
#include <string_view>

namespace cassiaroad {

/** Difference between two routing tables. */
struct RoutingChange
{
    std::vector<RoutedUpstream> upstreams; // added and changed ones
    std::vector<std::string> removedUpstreams; // ids
    RoutedRanges ranges; // each replaces all former ranges that it overlaps
    std::set<std::string> evacuatedZones; // all of them

    bool operator==(const RoutingChange &) const = default;
};

/**
 * Returns the change that turns @p before into @p after. Precondition: the ranges of @p after cover
 * those of @p before. Thread-safe.
 */
RoutingChange changeBetween(const RoutingTable &before, const RoutingTable &after);

/** Returns the table that results from @p change to @p table. Thread-safe. */
RoutingTable applyChange(const RoutingTable &table, const RoutingChange &change);

std::string encode(const RoutingChange &change);
/** Returns nothing if @p bytes do not encode a change. */
std::optional<RoutingChange> decodeRoutingChange(std::string_view bytes);

} // namespace cassiaroad
