#pragma once

#include <cstdint>

namespace cassiaroad {

/** Listener on loopback that takes connections and never reads or answers. */
class SilentPeer
{
public:
    SilentPeer();
    ~SilentPeer();
    SilentPeer(const SilentPeer &) = delete;
    SilentPeer &operator=(const SilentPeer &) = delete;

    std::uint16_t port() const;

    /** Takes one waiting connection and closes it. Precondition: one is waiting. */
    void acceptAndClose() const;

    /** Number of connections made so far; takes them. */
    int acceptWaiting();

private:
    int listener = -1;
    int accepted = 0;
};

} // namespace cassiaroad
