#include "connection/silentpeer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cassiaroad {

SilentPeer::SilentPeer()
    : listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(this->listener, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    listen(this->listener, 16);
}

SilentPeer::~SilentPeer()
{
    close(this->listener);
}

std::uint16_t SilentPeer::port() const
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

void SilentPeer::acceptAndClose() const
{
    close(accept(this->listener, nullptr, nullptr));
}

int SilentPeer::acceptWaiting()
{
    while (accept(this->listener, nullptr, nullptr) >= 0) {
        ++this->accepted; // left open until the process ends
    }
    return this->accepted;
}

} // namespace cassiaroad
