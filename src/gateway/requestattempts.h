#pragma once

#include "process/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cassiaroad {

/**
 * Attempts to send one request: which upstreams were chosen, which of them a byte has reached, and
 * whether another attempt is allowed. Pure; not thread-safe.
 */
class RequestAttempts
{
public:
    /** Begins an attempt at @p upstream and returns its number, from 1 on. */
    std::uint32_t begin(const std::string &upstream);

    /** The last attempt was cancelled before a byte was written, so that it counts as not begun. */
    void cancelLast();

    /** Records that a byte of the request is about to be written to @p upstream. */
    void recordWritten(const std::string &upstream);

    /**
     * Records that the upstream has refused the connection of the last attempt because it is full.
     * Returns the delay until the next attempt, which doubles each time up to a limit.
     */
    Milliseconds recordRefusedConnection();

    /** Whether one more attempt is allowed. Attempts whose connection was refused do not count. */
    bool mayRepeat() const;

    /** Number of attempts, with those whose connection was refused. */
    std::uint32_t count() const { return this->attempts; }
    /** Ids of the upstreams that were chosen, each once. */
    const std::vector<std::string> &chosen() const { return this->chosenIds; }
    /** Number of different upstreams to which a byte was written. */
    std::size_t reachedCount() const { return this->reachedIds.size(); }

private:
    std::vector<std::string> chosenIds;
    std::vector<std::string> reachedIds;
    bool lastIsNew = false; // the upstream of the last attempt was not chosen before
    std::uint32_t attempts = 0;
    std::uint32_t refusedConnections = 0;
};

} // namespace cassiaroad
