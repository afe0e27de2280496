#pragma once

#include "process/eventloop.h"
#include "process/settings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

typedef struct st_h2o_socket_t h2o_socket_t;
typedef struct st_h2o_http1client_ctx_t h2o_http1client_ctx_t;
typedef struct st_h2o_socketpool_t h2o_socketpool_t;

namespace cassiaroad {

/**
 * Idle client connections by server address. A connection on which anything arrives while it is
 * idle is closed, so that bytes of an earlier answer never meet a later request. Loop thread only.
 */
class ConnectionStore
{
public:
    explicit ConnectionStore(EventLoop &loop);
    ~ConnectionStore();
    ConnectionStore(const ConnectionStore &) = delete;
    ConnectionStore &operator=(const ConnectionStore &) = delete;

    EventLoop &eventLoop() const { return this->loop; }
    h2o_http1client_ctx_t *clientContext() const;

    /**
     * Returns h2o's pool through which a connection to @p server is handed to h2o's client. It
     * holds the idle connection used last that has been quiet for a moment, if there is one, and is
     * empty otherwise. @p openedAt receives the time at which that connection was opened; it is
     * unchanged if there is none.
     */
    h2o_socketpool_t *offerConnection(const HostAddress &server, TimePoint &openedAt);

    /** Returns h2o's pool of @p server without a connection in it. */
    h2o_socketpool_t *emptyPool(const HostAddress &server);

    /** Takes a connection that has carried a whole answer and nothing after it. */
    void keep(const HostAddress &server, h2o_socket_t *socket, TimePoint openedAt);

    void closeIdle(const HostAddress &server, TimePoint openedBefore);
    void closeIdleLongerThan(Milliseconds idle);
    /** Closes the idle connections used least recently, until @p most are left. */
    void trimIdle(const HostAddress &server, std::size_t most);
    std::size_t idleCount(const HostAddress &server) const;

private:
    struct Idle;
    struct Server;
    struct H2oContext;

    Server &serverOf(const HostAddress &address);
    static void closeIfUsed(h2o_socket_t *socket, const char *error);

    EventLoop &loop;
    std::unique_ptr<H2oContext> context;
    std::map<HostAddress, std::unique_ptr<Server>> servers;
};

} // namespace cassiaroad
