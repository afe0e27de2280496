#pragma once

#include "process/eventloop.h"

#include <cstddef>
#include <vector>

namespace cassiaroad {

/**
 * Reads and discards what clients still send after an early response such as 413. Closing a socket
 * with unread bytes resets the connection, and the reset destroys the response before a client that
 * sends its complete request first has read it. The number of connections, the bytes and the time
 * are bounded. Loop thread only.
 */
class LingeringClose
{
public:
    /** @p loop must outlive this object. */
    explicit LingeringClose(EventLoop &loop);
    ~LingeringClose();
    LingeringClose(const LingeringClose &) = delete;
    LingeringClose &operator=(const LingeringClose &) = delete;

    /**
     * Keeps a duplicate of the descriptor @p socket open. The owner of the socket sends its
     * response and closes it as usual. Does nothing if too many connections linger already.
     */
    void add(int socket);

private:
    struct Connection
    {
        int socket = -1;
        TimePoint since; // when it was added
        std::size_t droppedBytes = 0;
        bool sendShutDown = false; // the sending side is shut down
    };

    /** Closes the connections that have lingered long enough. */
    void check();
    /** Discards what has arrived. Returns whether the connection can be closed. */
    bool discardInput(Connection &connection, TimePoint now);

    EventLoop &loop;
    std::vector<Connection> connections;
    EventLoop::Timer timer;
};

} // namespace cassiaroad
