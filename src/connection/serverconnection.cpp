#include "connection/serverconnection.h"

#include <algorithm>
#include <climits>

#include <poll.h>
#include <sys/socket.h>

#include <h2o.h>

namespace cassiaroad {

bool isClosedByPeer(const ServerConnection &connection)
{
    pollfd entry { h2o_socket_get_fd(connection.socket), POLLRDHUP, 0 };
    return poll(&entry, 1, 0) > 0;
}

bool hasUnreadBytes(const ServerConnection &connection)
{
    char byte = 0;
    const int fd = h2o_socket_get_fd(connection.socket);
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void shutDownSocket(ServerConnection &connection)
{
    connection.closing = true;
    shutdown(h2o_socket_get_fd(connection.socket), SHUT_RDWR);
}

void closeIdle(ServerConnection &connection)
{
    connection.closing = true;
    shutdown(h2o_socket_get_fd(connection.socket), SHUT_RD);
}

void wakeBeyond(ServerConnection &connection, std::size_t size)
{
    if (connection.peekedBytes == size || connection.socket == nullptr) {
        return;
    }
    connection.peekedBytes = size;
    const int wanted = static_cast<int>(std::min<std::size_t>(size, INT_MAX - 1)) + 1;
    setsockopt(h2o_socket_get_fd(connection.socket), SOL_SOCKET, SO_RCVLOWAT, &wanted,
               sizeof(wanted));
}

} // namespace cassiaroad
