#pragma once

#include "toolsockets.h"

#include <functional>
#include <list>
#include <string>
#include <vector>

#include <poll.h>

namespace cassiaroad {

/**
 * Reads commands, one per line, from standard input and from TCP clients, and writes the reply of
 * each command back to where it came from. Not thread-safe.
 */
class LineCommands
{
public:
    /** @p run executes one command and returns its reply without line end. */
    explicit LineCommands(std::function<std::string(const std::string &)> run)
        : run(std::move(run))
    { }

    /** Reads commands from standard input too; their replies go to standard output. */
    void addStandardInput() { this->peers.push_back({ Descriptor(dup(STDIN_FILENO)), 1, {}, 0 }); }

    /** Listens for clients on @p address; returns the port, or 0 on failure (errno is set). */
    std::uint16_t listen(const HostAddress &address)
    {
        this->listener = boundSocket(address);
        if (!this->listener.isOpen() || ::listen(this->listener.get(), SOMAXCONN) != 0) {
            return 0;
        }
        return boundPort(this->listener);
    }

    /** Appends the descriptors to poll to @p polls. */
    void addPolls(std::vector<pollfd> &polls)
    {
        this->listenerPollIndex = polls.size();
        polls.push_back({ this->listener.get(), POLLIN, 0 });
        for (Peer &peer : this->peers) {
            peer.pollIndex = polls.size();
            polls.push_back({ peer.input.get(), POLLIN, 0 });
        }
    }

    /** Handles the results of poll() for the descriptors of the last addPolls(). */
    void handle(const std::vector<pollfd> &polls)
    {
        for (auto peer = this->peers.begin(); peer != this->peers.end();) {
            const bool alive = polls[peer->pollIndex].revents == 0 || this->readFrom(*peer);
            peer = alive ? std::next(peer) : this->peers.erase(peer);
        }
        if (this->listener.isOpen() && polls[this->listenerPollIndex].revents != 0) {
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
        std::string pending; // received bytes of a line that is not complete yet
        std::size_t pollIndex = 0; // in the polls of the last addPolls()
    };

    /** Reads once and runs the complete lines. Returns false if the peer is to be closed. */
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
    std::size_t listenerPollIndex = 0;
    std::list<Peer> peers;
};

} // namespace cassiaroad
