#pragma once

#include <cerrno>
#include <cstdint>
#include <string>
#include <string_view>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiaroad {

/** TCP client for tests that writes exactly the given bytes. */
class RawClient
{
public:
    explicit RawClient(std::uint16_t port)
        : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        this->connected
                = connect(this->fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
        fcntl(this->fd, F_SETFL, O_NONBLOCK);
    }
    ~RawClient() { this->disconnect(); }
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    bool write(std::string_view bytes)
    {
        return send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL)
               == static_cast<ssize_t>(bytes.size());
    }

    /** Writes as much as the socket takes; returns the number of bytes. */
    std::size_t writeSome(std::string_view bytes)
    {
        const ssize_t count = send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return count > 0 ? static_cast<std::size_t>(count) : 0;
    }

    /**
     * Reads what has arrived, and nothing more once @p maxBytes are received. Returns everything
     * received so far.
     */
    const std::string &received(std::size_t maxBytes = SIZE_MAX)
    {
        char buffer[65536];
        ssize_t count = 0;
        while (this->text.size() < maxBytes
               && (count = recv(this->fd, buffer, sizeof(buffer), 0)) > 0) {
            this->text.append(buffer, static_cast<std::size_t>(count));
        }
        if (this->text.size() >= maxBytes) {
            return this->text;
        }
        this->closed = this->closed || count == 0 || (errno != EAGAIN && errno != EINTR);
        return this->text;
    }

    bool isClosedByServer()
    {
        this->received();
        return this->closed;
    }

    void disconnect()
    {
        if (this->fd >= 0) {
            close(this->fd);
            this->fd = -1;
        }
    }

    bool connected = false;

private:
    int fd;
    std::string text;
    bool closed = false;
};

} // namespace cassiaroad
