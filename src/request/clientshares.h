#pragma once

#include "process/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace cassiaroad {

/** Identifies a client within a gateway; 0 if nothing tells the clients apart. */
using ClientId = std::uint64_t;

/**
 * How many requests of each client an upstream has been given lately, so that clients which wait
 * for it get equal shares. Counts the last five to ten seconds: clients that waited for longer all
 * count as new. Pure; not thread-safe.
 */
class ClientShares
{
public:
    /** Clients that are counted in five seconds at most; the requests of others do not count. */
    static constexpr std::size_t maxClients = 1024;

    /** A request of @p client is given to the upstream. */
    void recordStart(ClientId client, TimePoint now);

    /** Number of requests of @p client that were given to the upstream lately. */
    std::uint32_t count(ClientId client, TimePoint now) const;

    /** Number of counters that are kept. */
    std::size_t size() const { return this->current.size() + this->previous.size(); }

private:
    using Counts = std::unordered_map<ClientId, std::uint32_t>;

    Counts current; // since `currentSince`
    Counts previous; // in the window before
    TimePoint currentSince;
};

} // namespace cassiaroad
