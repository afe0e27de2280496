#include "connection/lingeringclose.h"

#include <array>
#include <cerrno>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiaroad {

namespace {

constexpr std::size_t maxConnections = 64;
constexpr std::size_t maxDroppedBytes = 64UL * 1024 * 1024;
constexpr Milliseconds maxLingerDuration { 10000 };
constexpr Milliseconds checkInterval { 10 };
// When the sending side is shut down. Nothing can be sent after that, and the owner of the socket
// writes its response in the iteration of the event loop after add().
constexpr Milliseconds shutdownDelay { 100 };

} // namespace

LingeringClose::LingeringClose(EventLoop &loop)
    : loop(loop)
{ }

LingeringClose::~LingeringClose()
{
    for (const Connection &connection : this->connections) {
        close(connection.socket);
    }
}

void LingeringClose::add(int socket)
{
    if (this->connections.size() >= maxConnections) {
        return;
    }
    const int duplicate = fcntl(socket, F_DUPFD_CLOEXEC, 0);
    if (duplicate < 0) {
        return;
    }
    if (this->connections.empty()) {
        this->timer = this->loop.callEvery(checkInterval, [this] { this->check(); });
    }
    this->connections.push_back({ duplicate, this->loop.now(), 0, false });
}

void LingeringClose::check()
{
    const TimePoint now = this->loop.now();
    std::erase_if(this->connections, [this, now](Connection &connection) {
        if (!this->discardInput(connection, now)) {
            return false;
        }
        close(connection.socket);
        return true;
    });
    if (this->connections.empty()) {
        this->timer = {};
    }
}

bool LingeringClose::discardInput(Connection &connection, TimePoint now)
{
    if (now - connection.since < shutdownDelay) {
        return false;
    }
    if (!connection.sendShutDown) {
        shutdown(connection.socket, SHUT_WR);
        connection.sendShutDown = true;
    }
    std::array<char, 64UL * 1024> buffer {};
    ssize_t count = 0;
    while ((count = recv(connection.socket, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0) {
        connection.droppedBytes += static_cast<std::size_t>(count);
        if (connection.droppedBytes > maxDroppedBytes) {
            return true;
        }
    }
    const bool isOpen = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return !isOpen || now - connection.since > maxLingerDuration;
}

} // namespace cassiaroad
