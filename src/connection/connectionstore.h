#pragma once

#include "process/eventloop.h"
#include "process/settings.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

typedef struct st_h2o_socket_t h2o_socket_t;

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

    /**
     * Takes the idle connection to @p server used last that has been quiet for a moment; null if
     * there is none. @p openedAt receives the time at which it was opened.
     */
    h2o_socket_t *take(const HostAddress &server, TimePoint &openedAt);

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

    Server &serverOf(const HostAddress &address);
    static void closeIfUsed(h2o_socket_t *socket, const char *error);

    EventLoop &loop;
    std::map<HostAddress, std::unique_ptr<Server>> servers;
};

} // namespace cassiaroad
