#pragma once

#include "connection/requestmemory.h"
#include "connection/serverconnection.h"
#include "process/eventloop.h"

#include <functional>
#include <list>
#include <vector>

typedef struct st_h2o_globalconf_t h2o_globalconf_t;

namespace cassiaroad {

/**
 * Reads the requests of a listener's connections for h2o, in bounded pieces and within a bound of
 * the bytes that all requests hold. A request that does not fit waits: its connection is not read.
 * One that has waited too long, that can never fit or whose head is too long is refused. HTTP/2 is
 * spoken on connections that begin with its preface; their requests count as Http2Streams
 * estimates. Loop thread only.
 */
class RequestReader
{
public:
    struct Limits
    {
        std::size_t maxBytes = 0; // that all requests hold
        std::size_t maxLargestBytes = 0; // of a request that is held apart; see RequestMemory
        Milliseconds maxWait; // of one request until it fits
        std::size_t maxHeadBytes = 0; // of an HTTP/1.1 request
        std::size_t maxBodyBytes = 0;
    };

    /** What the reader asks of its listener. */
    struct Handlers
    {
        /** Answers the request that arrives on the connection with this status, and closes it. */
        std::function<void(ServerConnection &, int)> refuse;
        /** Tries to make connections release this many bytes, for a request that waits. */
        std::function<bool(std::size_t)> makeRoom;
        /** Whether a request may be held apart now, until onLargestEnded. */
        std::function<bool()> mayHoldLargest;
        std::function<void()> onLargestEnded;
    };

    /** @p loop and @p config, of h2o, must outlive the reader. */
    RequestReader(EventLoop &loop, h2o_globalconf_t &config, Limits limits, Handlers handlers);
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    /** Reads for @p connection from now on. Precondition: h2o has just begun to read from it. */
    void start(ServerConnection &connection);

    /** Changes the largest head and body, also for requests that still arrive. */
    void setMaxSizes(std::size_t headBytes, std::size_t bodyBytes)
    {
        this->limits.maxHeadBytes = headBytes;
        this->limits.maxBodyBytes = bodyBytes;
    }

    /** Bytes by which h2o's limit of a body must exceed the largest one; see the implementation. */
    static std::size_t bodySlack(std::size_t maxHeadBytes);

    /** A request of @p connection has ended, and h2o is about to read the next one. */
    void onRequestEnded(ServerConnection &connection);

    /** A request of an HTTP/2 connection has ended. */
    void onStreamEnded(ServerConnection &connection, std::uint32_t stream);

    /** Releases what @p connection holds. Its socket is closed. */
    void onClosed(ServerConnection &connection);

    /** Releases the bytes of a response that was counted in the memory. */
    void releaseResponse(std::size_t size);
    /** Changes the size of a response that is held. Returns false if it grows and does not fit. */
    bool resizeResponse(std::size_t before, std::size_t after)
    {
        return this->memory.resize(before, after);
    }

    /** The memory of requests and unwritten responses. */
    RequestMemory &requestMemory() { return this->memory; }

    /** The connection whose request is held apart; see RequestMemory. Null if there is none. */
    ServerConnection *largestRequest() const { return this->largest; }

    /** How many requests were held apart since the start. */
    std::uint64_t largestRequestCount() const { return this->largestCount; }

    /** Gives h2o the end of the stream, so that it closes @p connection. */
    static void end(ServerConnection &connection);

    /** Bytes that all requests and unwritten responses hold. */
    std::size_t heldBytes() const { return this->memory.usedBytes(); }

private:
    static void onReadable(h2o_socket_t *socket, const char *error);
    /** Takes over reading from h2o if it reads. Returns whether the connection is read. */
    static bool takeOver(ServerConnection &connection);
    /** Lets h2o handle its input. Returns whether h2o waits for more of it. */
    static bool deliver(ServerConnection &connection, const char *error);
    void read(ServerConnection &connection);
    /** Reads one piece. Returns whether there may be more. */
    bool readPiece(ServerConnection &connection, std::size_t &total);
    /** Checks the incomplete request of @p connection. Returns whether it is read further. */
    bool checkIncomplete(ServerConnection &connection);
    bool checkUnknownLength(ServerConnection &connection);
    bool reserve(ServerConnection &connection, std::size_t size);
    bool record(ServerConnection &connection, std::size_t size);
    void reserveBuffer(ServerConnection &connection) const;
    void pause(ServerConnection &connection);
    void resumeWaiting();
    void checkWaiting();
    void takeOverEnded();
    void noteHead(ServerConnection &connection);
    void noteBytes(ServerConnection &connection, std::size_t size);
    void resizeHttp2(ServerConnection &connection);
    void release(ServerConnection &connection, std::size_t size);

    using Connections = std::list<std::shared_ptr<ServerConnection>>;

    EventLoop &loop;
    h2o_globalconf_t &config;
    Limits limits;
    Handlers handlers;
    RequestMemory memory;
    ServerConnection *largest = nullptr; // its request is held apart
    std::uint64_t largestCount = 0;
    Connections waiting; // for memory
    Connections ended; // whose request has ended, and that are not taken over again
    EventLoop::Timer waitTimer;
    EventLoop::Timer endedTimer;
};

} // namespace cassiaroad
