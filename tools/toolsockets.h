#pragma once

#include "process/settings.h"

#include <cerrno>
#include <cstring>
#include <optional>
#include <string>
#include <utility>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiaroad {

/** Parses "ip:port" (IPv4); port 0 is allowed. Returns nothing if invalid. Thread-safe. */
inline std::optional<HostAddress> parseAddressOption(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size() || text.size() - colon > 6) {
        return std::nullopt;
    }
    HostAddress address { text.substr(0, colon), 0 };
    in_addr parsed {};
    if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1
        || text.find_first_not_of("0123456789", colon + 1) != std::string::npos) {
        return std::nullopt;
    }
    address.port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
    return address;
}

/** Converts an address for the socket calls. Precondition: its IP address is valid. */
inline sockaddr_in socketAddressOf(const HostAddress &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/** Owns a file descriptor. Not thread-safe. */
class Descriptor
{
public:
    Descriptor() = default;
    explicit Descriptor(int fd)
        : fd(fd)
    { }
    Descriptor(Descriptor &&other) noexcept
        : fd(other.release())
    { }
    Descriptor &operator=(Descriptor &&other) noexcept
    {
        this->reset(other.release());
        return *this;
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;
    ~Descriptor() { this->reset(); }

    int get() const { return this->fd; }
    bool isOpen() const { return this->fd >= 0; }
    int release() { return std::exchange(this->fd, -1); }

    /** Closes the descriptor and owns @p next instead. */
    void reset(int next = -1)
    {
        if (this->fd >= 0) {
            close(this->fd);
        }
        this->fd = next;
    }

private:
    int fd = -1;
};

/** Creates a non-blocking TCP socket bound to @p address; not open on failure (errno is set). */
inline Descriptor boundSocket(const HostAddress &address)
{
    Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    // Allows a second socket to stay bound to the port while the listener is closed.
    setsockopt(socket.get(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    const sockaddr_in name = socketAddressOf(address);
    if (bind(socket.get(), reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0) {
        socket.reset();
    }
    return socket;
}

/** Returns the port that a socket is bound to. */
inline std::uint16_t boundPort(const Descriptor &socket)
{
    sockaddr_in name {};
    socklen_t size = sizeof(name);
    getsockname(socket.get(), reinterpret_cast<sockaddr *>(&name), &size);
    return ntohs(name.sin_port);
}

/** Starts to connect to @p address; not open on failure (errno is set). */
inline Descriptor connectingSocket(const HostAddress &address)
{
    Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in name = socketAddressOf(address);
    if (connect(socket.get(), reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0
        && errno != EINPROGRESS) {
        socket.reset();
    }
    return socket;
}

} // namespace cassiaroad
