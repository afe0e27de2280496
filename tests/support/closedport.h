#pragma once

#include <cstdint>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiaroad {

/**
 * Loopback port that refuses connections for as long as the object lives. The port stays bound: one
 * that was only closed can be given to the next listener with port 0, which then answers.
 */
class ClosedPort
{
public:
    ClosedPort()
        : holder(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        bind(this->holder, generic, length);
        getsockname(this->holder, generic, &length);
        this->port = ntohs(address.sin_port);
    }
    ~ClosedPort() { close(this->holder); }
    ClosedPort(const ClosedPort &) = delete;
    ClosedPort &operator=(const ClosedPort &) = delete;

    std::uint16_t port = 0;

private:
    int holder;
};

} // namespace cassiaroad
