#pragma once

#include "process/settings.h"

#include <array>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiaroad {

/** Listener that accepts nothing at first, so that the first packet of a connection is dropped. */
class FullListener
{
public:
    /** Binds to @p address; port 0 picks a free port. */
    explicit FullListener(const HostAddress &address = { "127.0.0.1", 0 })
        : listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        sockaddr_in bound {};
        bound.sin_family = AF_INET;
        bound.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &bound.sin_addr);
        socklen_t length = sizeof(bound);
        auto *generic = reinterpret_cast<sockaddr *>(&bound);
        bind(this->listener, generic, length);
        listen(this->listener, 0);
        getsockname(this->listener, generic, &length);
        this->port = ntohs(bound.sin_port);
        for (int &filler : this->fillers) {
            filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            connect(filler, generic, length);
        }
    }
    ~FullListener()
    {
        close(this->listener);
        for (const int filler : this->fillers) {
            close(filler);
        }
    }
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

    /** Gives up the connections that fill the queue. */
    void makeRoom()
    {
        this->acceptAll();
        for (int &filler : this->fillers) {
            close(filler);
            filler = -1;
        }
        this->acceptAll();
    }

    /** Accepts and closes what is waiting; returns the number of connections. */
    int acceptAll()
    {
        int count = 0;
        int fd = -1;
        while ((fd = accept(this->listener, nullptr, nullptr)) >= 0) {
            close(fd);
            ++count;
        }
        return count;
    }

    std::uint16_t port = 0;

private:
    int listener;
    std::array<int, 4> fillers {};
};

} // namespace cassiaroad
