#pragma once

#include <cstdint>

namespace cassiaroad {

/** Listener on loopback that accepts connections, but never reads or writes. */
class SilentPeer
{
public:
    SilentPeer();
    ~SilentPeer();
    SilentPeer(const SilentPeer &) = delete;
    SilentPeer &operator=(const SilentPeer &) = delete;

    std::uint16_t port() const;

    /** Accepts one pending connection and closes it. Precondition: a connection is pending. */
    void acceptAndClose() const;

    /** Accepts all pending connections. Returns the number of connections accepted so far. */
    int acceptWaiting();

private:
    int listener = -1;
    int accepted = 0;
};

} // namespace cassiaroad
