#pragma once

#include "version/routingtable.h"

#include <optional>
#include <string_view>

namespace cassiaroad {

/** What differs between two routing tables. */
struct RoutingChange
{
    std::vector<RoutedUpstream> upstreams; // new ones, and those that changed
    std::vector<std::string> removedUpstreams; // ids
    RoutedRanges ranges; // they replace all ranges that they overlap

    bool operator==(const RoutingChange &) const = default;
};

/**
 * Returns what turns @p before into @p after. Precondition: the ranges of @p after cover those of
 * @p before. Thread-safe.
 */
RoutingChange changeBetween(const RoutingTable &before, const RoutingTable &after);

/** Returns @p table after @p change. Thread-safe. */
RoutingTable applyChange(const RoutingTable &table, const RoutingChange &change);

std::string encode(const RoutingChange &change);
/** Returns nothing if @p bytes are no change. */
std::optional<RoutingChange> decodeRoutingChange(std::string_view bytes);

} // namespace cassiaroad
