#include "connection/connectionstore.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <h2o.h>

namespace cassiaroad {

namespace {

// A second answer to an earlier request can only be told from the answer to the next one while the
// connection is idle, so a connection rests before it is used again. A peer may hold back a small
// second answer until the first is acknowledged, which takes one round trip (3 ms between zones).
constexpr Milliseconds rest { 5 };

} // namespace

struct ConnectionStore::Idle
{
    Server *server;
    h2o_socket_t *socket;
    TimePoint openedAt;
    TimePoint idleSince;
};

struct ConnectionStore::Server
{
    std::vector<std::unique_ptr<Idle>> idle; // in the order in which they became idle

    template <typename Predicate>
    void closeIf(Predicate predicate)
    {
        std::erase_if(this->idle, [&](const std::unique_ptr<Idle> &entry) {
            if (!predicate(*entry)) {
                return false;
            }
            h2o_socket_close(entry->socket);
            return true;
        });
    }
};

ConnectionStore::ConnectionStore(EventLoop &loop)
    : loop(loop)
{ }

ConnectionStore::~ConnectionStore()
{
    for (auto &[address, server] : this->servers) {
        server->closeIf([](const Idle &) { return true; });
    }
}

ConnectionStore::Server &ConnectionStore::serverOf(const HostAddress &address)
{
    std::unique_ptr<Server> &server = this->servers[address];
    if (!server) {
        server = std::make_unique<Server>();
    }
    return *server;
}

h2o_socket_t *ConnectionStore::take(const HostAddress &server, TimePoint &openedAt)
{
    Server &entry = this->serverOf(server);
    const TimePoint usedBefore = this->loop.now() - rest;
    const auto found = std::find_if(
            entry.idle.rbegin(), entry.idle.rend(),
            [&](const std::unique_ptr<Idle> &idle) { return idle->idleSince <= usedBefore; });
    if (found == entry.idle.rend()) {
        return nullptr;
    }
    const std::unique_ptr<Idle> idle = std::move(*found);
    entry.idle.erase(std::next(found).base());
    h2o_socket_read_stop(idle->socket);
    openedAt = idle->openedAt;
    return idle->socket;
}

void ConnectionStore::keep(const HostAddress &server, h2o_socket_t *socket, TimePoint openedAt)
{
    Server &entry = this->serverOf(server);
    auto idle = std::make_unique<Idle>(Idle { &entry, socket, openedAt, this->loop.now() });
    socket->data = idle.get();
    const int on = 1; // acknowledges the answer now, so that the rest need not be longer
    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_QUICKACK, &on, sizeof(on));
    h2o_socket_read_start(socket, &ConnectionStore::closeIfUsed);
    entry.idle.push_back(std::move(idle));
}

void ConnectionStore::closeIfUsed(h2o_socket_t *socket, const char * /*error*/)
{
    const auto *used = static_cast<Idle *>(socket->data);
    used->server->closeIf([&](const Idle &entry) { return &entry == used; });
}

void ConnectionStore::closeIdle(const HostAddress &server, TimePoint openedBefore)
{
    const auto found = this->servers.find(server);
    if (found != this->servers.end()) {
        found->second->closeIf([&](const Idle &idle) { return idle.openedAt < openedBefore; });
    }
}

void ConnectionStore::closeIdleLongerThan(Milliseconds idle)
{
    const TimePoint limit = this->loop.now() - idle;
    for (auto &[address, server] : this->servers) {
        server->closeIf([&](const Idle &entry) { return entry.idleSince <= limit; });
    }
}

void ConnectionStore::trimIdle(const HostAddress &server, std::size_t most)
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end()) {
        return;
    }
    std::size_t excess = found->second->idle.size() - std::min(found->second->idle.size(), most);
    found->second->closeIf([&](const Idle &) { return excess > 0 && excess-- > 0; });
}

std::size_t ConnectionStore::idleCount(const HostAddress &server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? 0 : found->second->idle.size();
}

} // namespace cassiaroad
