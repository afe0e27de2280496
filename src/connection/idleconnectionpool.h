#pragma once

#include "connection/httpclient.h"
#include "process/eventloop.h"
#include "process/settings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

typedef struct st_h2o_socket_t h2o_socket_t;

namespace cassiaroad {

/** An open connection and what is known of it. The owner of this value closes the socket. */
struct OpenConnection
{
    h2o_socket_t *socket = nullptr; // null: none
    ConnectionState state;
};

/**
 * Idle client connections by server address, for reuse by later requests. A connection on which
 * bytes arrive while it is idle is closed, so that bytes of an earlier response are never read as
 * the response to a later request. Loop thread only.
 */
class IdleConnectionPool
{
public:
    explicit IdleConnectionPool(EventLoop &loop);
    ~IdleConnectionPool();
    IdleConnectionPool(const IdleConnectionPool &) = delete;
    IdleConnectionPool &operator=(const IdleConnectionPool &) = delete;

    EventLoop &eventLoop() const { return this->loop; }

    /**
     * Removes and returns the most recently used connection to @p server that has been idle long
     * enough to be used again; one without a socket if there is none.
     */
    OpenConnection take(const HostAddress &server);

    /**
     * Adds a connection and takes over its socket. Precondition: it has carried a complete response
     * and nothing after it.
     */
    void add(const HostAddress &server, const OpenConnection &connection);

    /** Closes the connections to @p server that were opened before @p openedBefore. */
    void closeIdle(const HostAddress &server, TimePoint openedBefore);
    /** Closes the connections to all servers that have been idle for @p idle or longer. */
    void closeIdleLongerThan(Milliseconds idle);
    /** Closes the least recently used connections to @p server until at most @p maxCount remain. */
    void trimIdle(const HostAddress &server, std::size_t maxCount);
    /** Number of idle connections to @p server. */
    std::size_t idleCount(const HostAddress &server) const;

private:
    struct IdleConnection;
    struct Server;

    Server &serverOf(const HostAddress &address);
    static void onReadable(h2o_socket_t *socket, const char *error);

    EventLoop &loop;
    std::map<HostAddress, std::unique_ptr<Server>> servers;
};

} // namespace cassiaroad
