#pragma once

#include "connection/httpserver.h"
#include "connection/serverconnection.h"

namespace cassiaroad {

/**
 * Closes connections whose clients are idle, send a request too slowly or do not read their
 * responses, and notices clients that have left. h2o's own timeouts follow the wall clock and do
 * not tell progress from silence. Loop thread only.
 */
class ConnectionTimeouts
{
public:
    /** @p limits must outlive this object; a change of them takes effect at the next check. */
    explicit ConnectionTimeouts(const HttpServerLimits &limits)
        : limits(limits)
    { }

    /** From now on, connections without a request are closed soon. */
    void shutDown() { this->shuttingDown = true; }

    /** Checks one connection. Precondition: its socket is open. To be called every half second. */
    void check(ServerConnection &connection, TimePoint now) const;

private:
    void checkOpenRequest(ServerConnection &connection, TimePoint now) const;
    void checkIdle(ServerConnection &connection, TimePoint now) const;
    void checkIncompleteRequest(ServerConnection &connection, TimePoint now) const;
    bool isHeadLate(const ServerConnection &connection, TimePoint now) const;

    const HttpServerLimits &limits;
    bool shuttingDown = false;
};

} // namespace cassiaroad
