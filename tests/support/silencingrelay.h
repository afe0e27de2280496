#pragma once

#include "process/settings.h"

#include <array>
#include <atomic>
#include <list>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiaroad {

/**
 * Forwards connections to a listener on loopback, on a thread of its own. The open connections can
 * be silenced for good without being closed, while new ones work; and the whole relay can be frozen
 * for a time, in which it accepts connections and forwards nothing.
 */
class SilencingRelay
{
public:
    /** Listens at @p address (port 0 picks a free port) and forwards to @p target. */
    SilencingRelay(const HostAddress &address, HostAddress target)
        : target(std::move(target))
        , listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in bound = toInet(address);
        socklen_t length = sizeof(bound);
        auto *generic = reinterpret_cast<sockaddr *>(&bound);
        bind(this->listener, generic, length);
        this->isListening = listen(this->listener, 128) == 0;
        getsockname(this->listener, generic, &length);
        this->port = ntohs(bound.sin_port);
        this->worker = std::thread([this] { this->run(); });
    }

    ~SilencingRelay()
    {
        this->stopped = true;
        this->worker.join();
        close(this->listener);
        for (const Pair &pair : this->pairs) {
            close(pair.ends[0]);
            close(pair.ends[1]);
        }
    }

    SilencingRelay(const SilencingRelay &) = delete;
    SilencingRelay &operator=(const SilencingRelay &) = delete;

    /** Silences the connections that are open now. Returns when no more bytes pass. */
    void silence()
    {
        this->silenceRequested = true;
        while (this->silenceRequested) {
            std::this_thread::yield();
        }
    }

    void setFrozen(bool value) { this->frozen = value; }

    std::uint16_t port = 0;
    bool isListening = false;

private:
    struct Pair
    {
        std::array<int, 2> ends {};
        bool isSilent = false;
    };

    static sockaddr_in toInet(const HostAddress &address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
        return result;
    }

    void run()
    {
        while (!this->stopped) {
            if (this->silenceRequested) {
                for (Pair &pair : this->pairs) {
                    pair.isSilent = true;
                }
                this->silenceRequested = false;
            }
            if (this->frozen) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
                continue;
            }
            this->waitForInput();
            this->acceptAll();
            this->pairs.remove_if([](Pair &pair) { return !pair.isSilent && !forward(pair); });
        }
    }

    void waitForInput()
    {
        std::vector<pollfd> polled { { this->listener, POLLIN, 0 } };
        for (const Pair &pair : this->pairs) {
            if (!pair.isSilent) {
                polled.push_back({ pair.ends[0], POLLIN, 0 });
                polled.push_back({ pair.ends[1], POLLIN, 0 });
            }
        }
        poll(polled.data(), polled.size(), 1);
    }

    void acceptAll()
    {
        int accepted = -1;
        while ((accepted = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC))
               >= 0) {
            const int upstream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const sockaddr_in address = toInet(this->target);
            if (connect(upstream, reinterpret_cast<const sockaddr *>(&address), sizeof(address))
                != 0) {
                close(upstream);
                close(accepted);
                continue;
            }
            this->pairs.push_back({ { accepted, upstream }, false });
        }
    }

    /** Forwards what has arrived; closes both ends and returns false if one has ended. */
    static bool forward(const Pair &pair)
    {
        std::array<char, 4096> buffer {};
        for (std::size_t i = 0; i < pair.ends.size(); ++i) {
            const ssize_t size = recv(pair.ends[i], buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size > 0) {
                send(pair.ends[1 - i], buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL);
            } else if (size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
                close(pair.ends[0]);
                close(pair.ends[1]);
                return false;
            }
        }
        return true;
    }

    HostAddress target;
    int listener;
    std::list<Pair> pairs; // used by the worker, and after its end
    std::atomic<bool> stopped = false;
    std::atomic<bool> silenceRequested = false;
    std::atomic<bool> frozen = false;
    std::thread worker;
};

} // namespace cassiaroad
