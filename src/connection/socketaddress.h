#pragma once

#include "process/settings.h"

#include <sys/socket.h>

namespace cassiaroad {

/** A HostAddress as a socket address; length is 0 if its IP address is invalid. */
struct SocketAddress
{
    sockaddr_storage storage {};
    socklen_t length = 0;

    sockaddr *data() { return reinterpret_cast<sockaddr *>(&this->storage); }
};

/** Converts an IPv4 or IPv6 address and port. Thread-safe. */
SocketAddress toSocketAddress(const HostAddress &address);

/** Parses "ip:port"; the port is 0 if the text does not have that form. Thread-safe. */
HostAddress parseHostAddress(const std::string &text);

} // namespace cassiaroad
