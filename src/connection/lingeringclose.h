#pragma once

#include "process/eventloop.h"

#include <cstddef>
#include <vector>

namespace cassiaroad {

/**
 * Reads and drops what clients still send after an early answer such as 413. Closing a socket with
 * unread bytes resets the connection, and the reset destroys the answer before a client that sends
 * its whole request first has read it. Bounded in connections, bytes and time. Loop thread only.
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
     * Keeps a duplicate of @p socket open. The owner of the socket sends its answer and closes it
     * as usual. Does nothing when the bounds are reached.
     */
    void add(int socket);

private:
    struct Connection
    {
        int socket = -1;
        TimePoint since;
        std::size_t dropped = 0;
        bool finished = false; // the sending side is shut down
    };

    void check();
    bool isDone(Connection &connection, TimePoint now);

    EventLoop &loop;
    std::vector<Connection> connections;
    EventLoop::Timer timer;
};

} // namespace cassiaroad
