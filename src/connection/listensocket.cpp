#include "connection/listensocket.h"

#include "connection/socketaddress.h"

#include <cerrno>
#include <cstring>

#include <unistd.h>

namespace cassiaroad {

namespace {

ListenError errorOf(const HostAddress &address, const std::string &reason)
{
    return { "cannot listen on " + address.toString() + ": " + reason };
}

} // namespace

std::variant<int, ListenError> openListener(const HostAddress &address, int backlog)
{
    SocketAddress target = toSocketAddress(address);
    if (target.length == 0) {
        return errorOf(address, "not an IP address");
    }
    const int fd = socket(target.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return errorOf(address, std::strerror(errno));
    }
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, target.data(), target.length) != 0 || listen(fd, backlog) != 0) {
        const ListenError error = errorOf(address, std::strerror(errno));
        close(fd);
        return error;
    }
    return fd;
}

} // namespace cassiaroad
