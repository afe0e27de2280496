#pragma once

#include <cstdint>
#include <future>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiaroad {

/** A server on its own thread that sends bytes without end on its first connection. */
class FastServer
{
public:
    explicit FastServer(std::string head)
        : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        bind(this->listener, generic, length);
        listen(this->listener, 1);
        getsockname(this->listener, generic, &length);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this, head = std::move(head)] { this->sendAll(head); });
    }
    ~FastServer()
    {
        shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        close(this->listener);
    }
    FastServer(const FastServer &) = delete;
    FastServer &operator=(const FastServer &) = delete;

    /** Waits until the head has arrived at the first client. Call it once. */
    void waitUntilHeadArrived() { this->headArrived.get_future().wait(); }

    std::uint16_t port = 0;

private:
    // Waits until the peer has acknowledged all bytes or closed the connection.
    static void waitUntilAcknowledged(int fd)
    {
        constexpr int checkIntervalMilliseconds = 1;
        int pending = 0;
        pollfd closed { fd, 0, 0 };
        while (ioctl(fd, SIOCOUTQ, &pending) == 0 && pending > 0
               && poll(&closed, 1, checkIntervalMilliseconds) == 0) { }
    }

    // Sends until the client closes the connection.
    void sendAll(const std::string &head)
    {
        const int fd = accept(this->listener, nullptr, nullptr);
        const std::string bytes(std::size_t(1024) * 1024, 'a');
        ssize_t sent = send(fd, head.data(), head.size(), MSG_NOSIGNAL);
        waitUntilAcknowledged(fd);
        this->headArrived.set_value();
        while (sent > 0) {
            sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        }
        close(fd);
    }

    int listener;
    std::promise<void> headArrived;
    std::thread thread;
};

} // namespace cassiaroad
