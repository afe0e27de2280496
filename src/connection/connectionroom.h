#pragma once

#include "process/clock.h"

#include <cstddef>
#include <vector>

namespace cassiaroad {

/** A connection without a request in progress. */
struct IdleConnection
{
    std::size_t index = 0; // chosen by the caller
    bool hasSentRequest = false;
    TimePoint idleSince;

    bool operator==(const IdleConnection &) const = default;
};

/** Returns how many of @p open connections must be closed so that @p reserved of @p max are free.
 * Thread-safe.
 */
std::size_t excessConnections(std::size_t open, std::size_t max, std::size_t reserved);

/**
 * Returns the indexes of the connections to close, at most @p count: first those that have never
 * sent a request, then the others, each the longest idle first. None that was idle for a second or
 * less is closed. Thread-safe.
 */
std::vector<std::size_t> chooseConnectionsToClose(std::vector<IdleConnection> idle,
                                                  std::size_t count, TimePoint now);

} // namespace cassiaroad
