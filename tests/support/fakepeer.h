#pragma once

#include "process/eventloop.h"

#include <cerrno>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiaroad {

/**
 * TCP server for tests whose script decides which bytes are sent. The script is called each time
 * bytes arrive on a connection.
 */
class FakePeer
{
public:
    struct Connection
    {
        int number; // 1 for the first connection
        int fd;
        std::string received; // not removed by the script yet
        bool closedByClient = false;
        bool resetByClient = false;

        void write(std::string_view bytes)
        {
            [[maybe_unused]] const ssize_t count
                    = send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        }
        void disconnect()
        {
            if (this->fd >= 0) {
                close(this->fd);
                this->fd = -1;
            }
        }
        /** Closes the connection with a reset. */
        void reset()
        {
            const linger abort { 1, 0 };
            setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
            this->disconnect();
        }
    };
    using Script = std::function<void(Connection &)>;

    FakePeer(EventLoop &loop, Script script)
        : listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
        , script(std::move(script))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        bind(this->listener, generic, length);
        listen(this->listener, 128);
        getsockname(this->listener, generic, &length);
        this->port = ntohs(address.sin_port);
        this->timer = loop.callEvery({ 1 }, [this] { this->poll(); });
    }
    ~FakePeer()
    {
        close(this->listener);
        for (const auto &connection : this->connections) {
            connection->disconnect();
        }
    }
    FakePeer(const FakePeer &) = delete;
    FakePeer &operator=(const FakePeer &) = delete;

    std::uint16_t port = 0;
    int refusals = 0; // new connections to reset, as a server does that has too many
    std::vector<std::unique_ptr<Connection>> connections;

private:
    void poll()
    {
        int fd = -1;
        while ((fd = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC))
               >= 0) {
            const int number = static_cast<int>(this->connections.size()) + 1;
            if (this->refusals > 0) {
                --this->refusals;
                Connection { 0, fd, {} }.reset();
                continue;
            }
            this->connections.push_back(
                    std::make_unique<Connection>(Connection { number, fd, {} }));
        }
        for (const auto &connection : this->connections) {
            this->read(*connection);
        }
    }

    void read(Connection &connection)
    {
        char buffer[65536];
        bool arrived = false;
        ssize_t count = -1;
        while (connection.fd >= 0 && (count = recv(connection.fd, buffer, sizeof(buffer), 0)) > 0) {
            connection.received.append(buffer, static_cast<std::size_t>(count));
            arrived = true;
        }
        // A client that closes with unread bytes resets the connection.
        const bool isReset = count < 0 && errno == ECONNRESET;
        if (connection.fd >= 0 && (count == 0 || isReset)) {
            connection.closedByClient = true;
            connection.resetByClient = isReset;
        }
        if (arrived) {
            this->script(connection);
        }
    }

    int listener;
    Script script;
    EventLoop::Timer timer;
};

} // namespace cassiaroad
