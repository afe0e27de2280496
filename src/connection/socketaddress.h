#pragma once

#include "process/settings.h"

#include <sys/socket.h>

namespace cassiaroad {

/** Socket form of a HostAddress; length 0 if its IP number cannot be read. */
struct SocketAddress
{
    sockaddr_storage storage {};
    socklen_t length = 0;

    sockaddr *data() { return reinterpret_cast<sockaddr *>(&this->storage); }
};

/** Converts an IPv4 or IPv6 number and port. Thread-safe. */
SocketAddress toSocketAddress(const HostAddress &address);

/** Reads "ip:port"; port 0 if the text is not of that form. Thread-safe. */
HostAddress parseHostAddress(const std::string &text);

} // namespace cassiaroad
