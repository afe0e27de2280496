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
    Open, // bytes are forwarded
    Cut, // new connections are refused, open ones are reset
    Stall, // nothing is read or written; bytes wait until the relay is open again
    Discard, // bytes are read and dropped; the connections stay open
};

/** Traffic that a relay has forwarded so far. */
struct RelayCount
{
    std::uint64_t toTarget = 0; // bytes
    std::uint64_t toClient = 0; // bytes
    std::uint64_t connections = 0;

    bool operator==(const RelayCount &) const = default;
};

/**
 * Forwards TCP connections from one address to another, with latency, rate limits and faults. Not
 * thread-safe.
 */
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

    /** Binds and listens; returns the port, or 0 on failure (errno is set). Call once. */
    std::uint16_t listen(const HostAddress &address)
    {
        this->placeholder = boundSocket(address);
        if (!this->placeholder.isOpen()) {
            return 0;
        }
        this->listenAddress = { address.ip, boundPort(this->placeholder) };
        return this->openListener() ? this->listenAddress.port : 0;
    }

    const std::string &name() const { return this->relayName; }
    const RelayCount &count() const { return this->total; }
    void setLatency(std::chrono::microseconds value) { this->latency = value; }

    /**
     * Changes the mode. Connections whose bytes were dropped stay silent when the relay opens
     * again, since their streams have gaps.
     */
    void setMode(RelayMode next)
    {
        if (next == RelayMode::Cut) {
            this->listener.reset();
            this->connections.clear();
        } else if (this->mode == RelayMode::Cut) {
            this->openListener();
        }
        for (Connection &connection : this->connections) {
            connection.silent = connection.silent || next == RelayMode::Discard;
        }
        this->mode = next;
    }

    /** Drops the bytes of the open connections from now on; new connections work. */
    void silenceConnections()
    {
        for (Connection &connection : this->connections) {
            connection.silent = true;
        }
    }

    /** Appends the descriptors to poll to @p polls; replaces the positions of the previous call. */
    void addPolls(std::vector<pollfd> &polls, LinkTime now)
    {
        this->listenerPollIndex = polls.size();
        polls.push_back({ this->listener.get(), POLLIN, 0 });
        for (Connection &connection : this->connections) {
            connection.pollIndex = polls.size();
            const short up = this->events(connection.up, connection.down, connection, now);
            const short down = this->events(connection.down, connection.up, connection, now);
            // A descriptor with no events to wait for is left out (-1): poll() would report its
            // hang-up immediately in each iteration.
            polls.push_back({ up == 0 ? -1 : connection.client.get(), up, 0 });
            polls.push_back({ down == 0 ? -1 : connection.server.get(), down, 0 });
        }
    }

    /** Handles the results of poll() for the descriptors of the last addPolls(). */
    void handle(const std::vector<pollfd> &polls, LinkTime now)
    {
        for (auto connection = this->connections.begin(); connection != this->connections.end();) {
            const bool alive = connection->silent ? this->readAndDiscard(*connection, polls)
                                                  : this->forward(*connection, polls, now);
            connection = alive ? std::next(connection) : this->connections.erase(connection);
        }
        if (this->listener.isOpen() && polls[this->listenerPollIndex].revents != 0) {
            this->accept();
        }
    }

    /** Time at which handle() has delayed bytes to write, without an event of poll(). */
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
        RelayDirection down; // server to client
        bool silent = false; // bytes are dropped until the connection closes
        std::size_t pollIndex = 0; // of the client in the polls; the server follows; 0: not polled
    };

    bool openListener()
    {
        this->listener = boundSocket(this->listenAddress);
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
        // A zero linger time makes close() reset the connection instead of ending the stream.
        const linger reset { 1, 0 };
        setsockopt(connection.client.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        connection.server = connectingSocket(this->target);
        if (!connection.server.isOpen()) {
            return;
        }
        setsockopt(connection.server.get(), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        connection.silent = this->mode == RelayMode::Discard;
        ++this->total.connections;
        this->connections.push_back(std::move(connection));
    }

    /** Events to wait for on a socket that @p out reads from and @p in writes to. */
    short events(const RelayDirection &out, const RelayDirection &in, const Connection &connection,
                 LinkTime now) const
    {
        if (connection.silent) {
            return POLLIN;
        }
        if (this->mode == RelayMode::Stall) {
            return 0;
        }
        const int wanted = (out.canAcceptBytes() ? POLLIN : 0) | (in.isDue(now) ? POLLOUT : 0);
        return static_cast<short>(wanted);
    }

    /** Reads and writes what is ready. Returns false if the connection has failed or ended. */
    bool forward(Connection &connection, const std::vector<pollfd> &polls, LinkTime now)
    {
        if (this->mode == RelayMode::Stall || connection.pollIndex == 0) {
            return true;
        }
        const short client = polls[connection.pollIndex].revents;
        const short server = polls[connection.pollIndex + 1].revents;
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

    /** Reads bytes and drops them. Returns false when both sides have closed the connection. */
    bool readAndDiscard(Connection &connection, const std::vector<pollfd> &polls)
    {
        connection.up.discard();
        connection.down.discard();
        if (connection.pollIndex == 0) {
            return true;
        }
        for (Descriptor *side : { &connection.client, &connection.server }) {
            const std::size_t index = connection.pollIndex + (side == &connection.server ? 1 : 0);
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
    HostAddress listenAddress;
    Descriptor placeholder; // keeps the port reserved while the listener is closed
    Descriptor listener;
    std::size_t listenerPollIndex = 0;
    std::list<Connection> connections;
    RelayCount total;
};

} // namespace cassiaroad
