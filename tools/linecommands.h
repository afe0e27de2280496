#pragma once

#include "toolsockets.h"

#include <functional>
#include <list>
#include <string>
#include <vector>

#include <poll.h>

namespace cassiaroad {

/**
 * Takes commands, one a line, from standard input and from clients of a loopback port, and writes
 * the reply to each back. Not thread-safe.
 */
class LineCommands
{
public:
    /** @p run executes one command and returns its reply without line end. */
    explicit LineCommands(std::function<std::string(const std::string &)> run)
        : run(std::move(run))
    { }

    /** Also takes commands from standard input. */
    void addStandardInput() { this->peers.push_back({ Descriptor(dup(STDIN_FILENO)), 1, {}, 0 }); }

    /** Listens; returns the port or 0 (errno is set). */
    std::uint16_t listen(const HostAddress &address)
    {
        this->listener = boundSocket(address);
        if (!this->listener.isOpen() || ::listen(this->listener.get(), SOMAXCONN) != 0) {
            return 0;
        }
        return boundPort(this->listener);
    }

    /** Adds what to poll for. */
    void addPolls(std::vector<pollfd> &polls)
    {
        this->listenerPoll = polls.size();
        polls.push_back({ this->listener.get(), POLLIN, 0 });
        for (Peer &peer : this->peers) {
            peer.poll = polls.size();
            polls.push_back({ peer.input.get(), POLLIN, 0 });
        }
    }

    /** Handles the results for the polls added last. */
    void handle(const std::vector<pollfd> &polls)
    {
        for (auto peer = this->peers.begin(); peer != this->peers.end();) {
            const bool alive = polls[peer->poll].revents == 0 || this->readFrom(*peer);
            peer = alive ? std::next(peer) : this->peers.erase(peer);
        }
        if (this->listener.isOpen() && polls[this->listenerPoll].revents != 0) {
            const int fd = accept4(this->listener.get(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                this->peers.push_back({ Descriptor(fd), fd, {}, 0 });
            }
        }
    }

private:
    struct Peer
    {
        Descriptor input;
        int output = -1;
        std::string pending;
        std::size_t poll = 0;
    };

    bool readFrom(Peer &peer)
    {
        char buffer[4096];
        const ssize_t size = read(peer.input.get(), buffer, sizeof(buffer));
        if (size <= 0) {
            return false;
        }
        peer.pending.append(buffer, static_cast<std::size_t>(size));
        for (std::size_t end = peer.pending.find('\n'); end != std::string::npos;
             end = peer.pending.find('\n')) {
            const std::string reply = this->run(peer.pending.substr(0, end)) + "\n";
            peer.pending.erase(0, end + 1);
            if (write(peer.output, reply.data(), reply.size()) < 0) {
                return false;
            }
        }
        return true;
    }

    std::function<std::string(const std::string &)> run;
    Descriptor listener;
    std::size_t listenerPoll = 0;
    std::list<Peer> peers;
};

} // namespace cassiaroad
