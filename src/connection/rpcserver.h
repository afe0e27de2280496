#pragma once

#include "connection/rpcstream.h"

#include <list>

#include <capnp/capability.h>

namespace cassiaroad {

/** Limits of an RPC listener. */
struct RpcServerLimits
{
    std::size_t maxConnections = 1000;
    // A client whose connection an intermediary has forgotten never closes it; without this bound
    // such connections would use up maxConnections.
    Milliseconds idleTimeout { 10000 };

    bool operator==(const RpcServerLimits &) const = default;
};

/** Listener that offers one capability to each client that connects. Loop thread only. */
class RpcServer
{
public:
    RpcServer(EventLoop &loop, RpcServerLimits limits, capnp::Capability::Client bootstrap);
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    /** Binds and listens; port 0 takes a free one. Returns an empty text, or why it failed. */
    std::string listen(const HostAddress &address);

    /** Port of the listener, 0 before listen(). */
    std::uint16_t port() const;

    std::size_t connectionCount() const { return this->connections.size(); }

    /** Bytes of all connections so far. */
    const ByteCounters &bytes() const { return *this->counters; }

private:
    class Connection;

    static void onAcceptable(h2o_socket_t *listener, const char *error);
    void accept(h2o_socket_t *socket);
    void removeClosed();

    EventLoop &loop;
    RpcServerLimits limits;
    capnp::Capability::Client bootstrap;
    std::shared_ptr<ByteCounters> counters;
    h2o_socket_t *listener = nullptr;
    std::list<std::unique_ptr<Connection>> connections;
    EventLoop::Timer cleanUpTimer;
};

} // namespace cassiaroad
