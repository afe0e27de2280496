#pragma once

#include "relaydirection.h"
#include "toolsockets.h"

#include <cerrno>
#include <list>
#include <string>
#include <vector>

#include <poll.h>

namespace cassiaroad {

/** How a relay treats connections. */
enum class RelayMode {
    Open,
    Cut, // new connections are refused, open ones are reset
    Hold, // bytes wait until the relay is open again
    Swallow, // bytes are read and dropped for good; nothing is closed
};

/** What went through a relay. */
struct RelayCount
{
    std::uint64_t toTarget = 0; // bytes
    std::uint64_t toClient = 0; // bytes
    std::uint64_t connections = 0;

    bool operator==(const RelayCount &) const = default;
};

/** Forwards TCP connections from one address to another. Not thread-safe. */
class Relay
{
public:
    Relay(std::string name, HostAddress target, std::chrono::microseconds latency,
          LinkRate &rateToTarget, LinkRate &rateToClient)
        : relayName(std::move(name))
        , target(std::move(target))
        , latency(latency)
        , rateToTarget(rateToTarget)
        , rateToClient(rateToClient)
    { }

    /** Binds and listens; returns the port or 0 (errno is set). Call once. */
    std::uint16_t listen(const HostAddress &address)
    {
        this->placeholder = boundSocket(address);
        if (!this->placeholder.isOpen()) {
            return 0;
        }
        this->own = { address.ip, boundPort(this->placeholder) };
        return this->openListener() ? this->own.port : 0;
    }

    const std::string &name() const { return this->relayName; }
    const RelayCount &count() const { return this->total; }
    void setLatency(std::chrono::microseconds value) { this->latency = value; }

    /** Changes the mode. Connections that lost bytes stay silent when the relay opens again. */
    void setMode(RelayMode next)
    {
        if (next == RelayMode::Cut) {
            this->listener.reset();
            this->connections.clear();
        } else if (this->mode == RelayMode::Cut) {
            this->openListener();
        }
        for (Connection &connection : this->connections) {
            connection.silent = connection.silent || next == RelayMode::Swallow;
        }
        this->mode = next;
    }

    /** Makes the open connections silent for good; new ones work. */
    void silenceConnections()
    {
        for (Connection &connection : this->connections) {
            connection.silent = true;
        }
    }

    /** Adds what to poll for; forgets the previous call. */
    void addPolls(std::vector<pollfd> &polls, LinkTime now)
    {
        this->listenerPoll = polls.size();
        polls.push_back({ this->listener.get(), POLLIN, 0 });
        for (Connection &connection : this->connections) {
            connection.poll = polls.size();
            const short up = this->events(connection.up, connection.down, connection, now);
            const short down = this->events(connection.down, connection.up, connection, now);
            // A descriptor with nothing to wait for is left out: poll() would report its hang-up
            // at once, again and again.
            polls.push_back({ up == 0 ? -1 : connection.client.get(), up, 0 });
            polls.push_back({ down == 0 ? -1 : connection.server.get(), down, 0 });
        }
    }

    /** Handles the results for the polls added last. */
    void handle(const std::vector<pollfd> &polls, LinkTime now)
    {
        for (auto connection = this->connections.begin(); connection != this->connections.end();) {
            const bool alive = connection->silent ? this->swallow(*connection, polls)
                                                  : this->forward(*connection, polls, now);
            connection = alive ? std::next(connection) : this->connections.erase(connection);
        }
        if (this->listener.isOpen() && polls[this->listenerPoll].revents != 0) {
            this->accept();
        }
    }

    /** When handle() has something to do without a poll event. */
    LinkTime nextDue() const
    {
        LinkTime due = LinkTime::max();
        if (this->mode == RelayMode::Open) {
            for (const Connection &connection : this->connections) {
                if (!connection.silent) {
                    due = std::min({ due, connection.up.nextDue(), connection.down.nextDue() });
                }
            }
        }
        return due;
    }

private:
    struct Connection
    {
        Descriptor client;
        Descriptor server;
        RelayDirection up; // client to server
        RelayDirection down;
        bool silent = false;
        std::size_t poll = 0;
    };

    bool openListener()
    {
        this->listener = boundSocket(this->own);
        return this->listener.isOpen() && ::listen(this->listener.get(), SOMAXCONN) == 0;
    }

    void accept()
    {
        Connection connection;
        connection.client.reset(
                accept4(this->listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!connection.client.isOpen()) {
            return;
        }
        const int on = 1;
        setsockopt(connection.client.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        // A cut resets the connection instead of ending the stream.
        const linger reset { 1, 0 };
        setsockopt(connection.client.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        connection.server = connectingSocket(this->target);
        if (!connection.server.isOpen()) {
            return;
        }
        setsockopt(connection.server.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        connection.silent = this->mode == RelayMode::Swallow;
        ++this->total.connections;
        this->connections.push_back(std::move(connection));
    }

    short events(const RelayDirection &out, const RelayDirection &in, const Connection &connection,
                 LinkTime now) const
    {
        if (connection.silent) {
            return POLLIN;
        }
        if (this->mode == RelayMode::Hold) {
            return 0;
        }
        const int wanted = (out.wantsBytes() ? POLLIN : 0) | (in.isDue(now) ? POLLOUT : 0);
        return static_cast<short>(wanted);
    }

    bool forward(Connection &connection, const std::vector<pollfd> &polls, LinkTime now)
    {
        if (this->mode == RelayMode::Hold || connection.poll == 0) {
            return true;
        }
        const short client = polls[connection.poll].revents;
        const short server = polls[connection.poll + 1].revents;
        if (((client | server) & (POLLERR | POLLNVAL)) != 0) {
            return false;
        }
        const bool alive
                = ((client & POLLIN) == 0
                   || connection.up.readFrom(connection.client.get(), this->latency,
                                             this->rateToTarget, now))
                  && ((server & POLLIN) == 0
                      || connection.down.readFrom(connection.server.get(), this->latency,
                                                  this->rateToClient, now))
                  && ((server & POLLOUT) == 0
                      || connection.up.writeTo(connection.server.get(), now, this->total.toTarget))
                  && ((client & POLLOUT) == 0
                      || connection.down.writeTo(connection.client.get(), now,
                                                 this->total.toClient));
        return alive && !(connection.up.isFinished() && connection.down.isFinished());
    }

    /** Reads and drops; the connection ends when both sides have closed it. */
    bool swallow(Connection &connection, const std::vector<pollfd> &polls)
    {
        connection.up.discard();
        connection.down.discard();
        if (connection.poll == 0) {
            return true;
        }
        for (Descriptor *side : { &connection.client, &connection.server }) {
            const std::size_t index = connection.poll + (side == &connection.server ? 1 : 0);
            char buffer[64 * 1024];
            if (side->isOpen() && polls[index].revents != 0
                && recv(side->get(), buffer, sizeof(buffer), 0) <= 0) {
                side->reset();
            }
        }
        return connection.client.isOpen() || connection.server.isOpen();
    }

    std::string relayName;
    HostAddress target;
    std::chrono::microseconds latency;
    LinkRate &rateToTarget;
    LinkRate &rateToClient;
    RelayMode mode = RelayMode::Open;
    HostAddress own;
    Descriptor placeholder; // keeps the port while the listener is closed
    Descriptor listener;
    std::size_t listenerPoll = 0;
    std::list<Connection> connections;
    RelayCount total;
};

} // namespace cassiaroad
