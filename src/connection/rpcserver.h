#pragma once

#include "connection/rpcstream.h"

#include <list>

#include <capnp/capability.h>

namespace cassiaroad {

/** Limits of an RPC listener. */
struct RpcServerLimits
{
    std::size_t maxConnections = 1000;
    // Connections that have received nothing for this time are closed. If an intermediary no longer
    // tracks a connection, its close never arrives here; such connections would use up
    // maxConnections.
    Milliseconds idleTimeout { 10000 };

    bool operator==(const RpcServerLimits &) const = default;
};

/** Cap'n Proto RPC listener that offers one capability to its clients. Loop thread only. */
class RpcServer
{
public:
    /** @p bootstrap is the capability that each client gets. */
    RpcServer(EventLoop &loop, RpcServerLimits limits, capnp::Capability::Client bootstrap);
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    /** Binds and listens; port 0 picks a free port. Returns an empty text, or an error message. */
    std::string listen(const HostAddress &address);

    /** Port of the listener, 0 before listen(). */
    std::uint16_t port() const;

    std::size_t connectionCount() const { return this->connections.size(); }

    /** Number of connections accepted so far. */
    std::uint64_t acceptedCount() const { return this->accepted; }

    /** Bytes sent and received so far on all connections. */
    const ByteCounters &bytes() const { return *this->counters; }

private:
    class Connection;

    static void onAcceptable(h2o_socket_t *listener, const char *error);
    void accept(h2o_socket_t *socket);
    /** Removes connections that are closed or have been idle too long. */
    void removeClosed();

    EventLoop &loop;
    RpcServerLimits limits;
    capnp::Capability::Client bootstrap;
    std::shared_ptr<ByteCounters> counters;
    h2o_socket_t *listener = nullptr;
    std::list<std::unique_ptr<Connection>> connections;
    std::uint64_t accepted = 0; // connections
    EventLoop::Timer cleanUpTimer;
};

} // namespace cassiaroad
