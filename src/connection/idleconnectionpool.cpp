#include "connection/idleconnectionpool.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <h2o.h>

namespace cassiaroad {

namespace {

// Minimum idle time of a connection before it is reused. A surplus second response to an earlier
// request can be distinguished from the response to the next one only while the connection is idle.
// The peer's TCP may delay a small second response until the first is acknowledged, which takes one
// round trip (3 ms between availability zones).
constexpr Milliseconds reuseDelay { 5 };

} // namespace

struct IdleConnectionPool::IdleConnection
{
    Server *server;
    OpenConnection connection;
    TimePoint idleSince;
};

/** Idle connections to one server address. */
struct IdleConnectionPool::Server
{
    std::vector<std::unique_ptr<IdleConnection>> idle; // in the order in which they became idle

    template <typename Predicate>
    void closeIf(Predicate predicate)
    {
        std::erase_if(this->idle, [&](const std::unique_ptr<IdleConnection> &entry) {
            if (!predicate(*entry)) {
                return false;
            }
            h2o_socket_close(entry->connection.socket);
            return true;
        });
    }
};

IdleConnectionPool::IdleConnectionPool(EventLoop &loop)
    : loop(loop)
{ }

IdleConnectionPool::~IdleConnectionPool()
{
    for (auto &[address, server] : this->servers) {
        server->closeIf([](const IdleConnection &) { return true; });
    }
}

IdleConnectionPool::Server &IdleConnectionPool::serverOf(const HostAddress &address)
{
    std::unique_ptr<Server> &server = this->servers[address];
    if (!server) {
        server = std::make_unique<Server>();
    }
    return *server;
}

OpenConnection IdleConnectionPool::take(const HostAddress &server)
{
    Server &entry = this->serverOf(server);
    const TimePoint latestIdleSince = this->loop.now() - reuseDelay;
    const auto found = std::find_if(entry.idle.rbegin(), entry.idle.rend(),
                                    [&](const std::unique_ptr<IdleConnection> &idle) {
                                        return idle->idleSince <= latestIdleSince;
                                    });
    if (found == entry.idle.rend()) {
        return {};
    }
    const std::unique_ptr<IdleConnection> idle = std::move(*found);
    entry.idle.erase(std::next(found).base());
    h2o_socket_read_stop(idle->connection.socket);
    return idle->connection;
}

void IdleConnectionPool::add(const HostAddress &server, const OpenConnection &connection)
{
    Server &entry = this->serverOf(server);
    auto idle = std::make_unique<IdleConnection>(
            IdleConnection { &entry, connection, this->loop.now() });
    h2o_socket_t *const socket = connection.socket;
    socket->data = idle.get();
    const int on = 1; // acknowledges the response at once, so that reuseDelay can be this short
    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_QUICKACK, &on, sizeof(on));
    h2o_socket_read_start(socket, &IdleConnectionPool::onReadable);
    entry.idle.push_back(std::move(idle));
}

// Closes an idle connection on which bytes, the end of the stream or an error arrived.
void IdleConnectionPool::onReadable(h2o_socket_t *socket, const char * /*error*/)
{
    const auto *used = static_cast<IdleConnection *>(socket->data);
    used->server->closeIf([&](const IdleConnection &entry) { return &entry == used; });
}

void IdleConnectionPool::closeIdle(const HostAddress &server, TimePoint openedBefore)
{
    const auto found = this->servers.find(server);
    if (found != this->servers.end()) {
        found->second->closeIf([&](const IdleConnection &idle) {
            return idle.connection.state.openedAt < openedBefore;
        });
    }
}

void IdleConnectionPool::closeIdleLongerThan(Milliseconds idle)
{
    const TimePoint limit = this->loop.now() - idle;
    for (auto &[address, server] : this->servers) {
        server->closeIf([&](const IdleConnection &entry) { return entry.idleSince <= limit; });
    }
}

void IdleConnectionPool::trimIdle(const HostAddress &server, std::size_t maxCount)
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end()) {
        return;
    }
    std::size_t excess
            = found->second->idle.size() - std::min(found->second->idle.size(), maxCount);
    found->second->closeIf([&](const IdleConnection &) { return excess > 0 && excess-- > 0; });
}

std::size_t IdleConnectionPool::idleCount(const HostAddress &server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? 0 : found->second->idle.size();
}

} // namespace cassiaroad
