#pragma once

#include "connection/http2streams.h"
#include "process/clock.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

typedef struct st_h2o_socket_t h2o_socket_t;

namespace cassiaroad {

class ClientRoom;
class H2oExchange;
class Pipeliner;
class RequestReader;
struct ConnectionPipeline;

/**
 * State of one connection that HttpServer has accepted. The on_close data of its socket points to
 * it.
 */
struct ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
    static inline std::atomic<std::uint64_t> lastId = 0;

    void *server = nullptr; // HttpServer::Private
    std::uint64_t id = ++lastId;
    h2o_socket_t *socket = nullptr; // null once closed
    TimePoint acceptedAt;
    TimePoint idleSince; // when it was accepted or its last exchange ended
    TimePoint receivingSince; // when the incomplete request began to arrive; valid if receiving
    bool hasSentRequest = false; // a complete one
    bool receiving = false; // h2o has buffered a part of a request
    bool closing = false; // shut down by the server; a request that still arrives is refused
    std::uint32_t openExchanges = 0;
    std::uint32_t unwrittenResponses = 0; // of open exchanges that were answered
    RequestReader *reader = nullptr; // outlives the socket
    ClientRoom *room = nullptr; // outlives the socket
    std::size_t heldResponseBytes = 0; // of unwritten responses
    std::size_t expectedResponseBytes = 0; // set aside for responses to requests in progress
    TimePoint receivedAt; // when the last bytes of a request arrived
    // h2o's callback for input, and the one for HTTP/1.1.
    void (*readCallback)(h2o_socket_t *, const char *) = nullptr;
    void (*http1Callback)(h2o_socket_t *, const char *) = nullptr;
    std::unique_ptr<Http2Streams> http2; // null for HTTP/1.1
    std::size_t reservedBytes = 0; // of the reader's memory
    bool isHeldApart = false; // its request is the one that is too large for the memory
    std::size_t expectedBytes = 0; // head and body of the request that arrives; 0 if not known
    std::size_t headBytes = 0; // of the request that arrives, once its head is complete
    bool isLengthUnknown = false; // the head is complete and does not tell the length
    // When the head of the HTTP/1.1 request that still arrives was complete.
    std::optional<TimePoint> headArrivedAt;
    std::optional<TimePoint> waitingSince; // when its request began to wait for memory
    std::optional<TimePoint> unreadSince; // last progress of the response, as the sweep saw it
    std::uint64_t acknowledgedBytes = 0; // at unreadSince
    H2oExchange *watchedExchange = nullptr; // is notified when the client closes the connection
    bool needsClosePolling = false; // unread data hides the close from readiness; sweep() polls
    Pipeliner *pipeliner = nullptr; // outlives the socket
    std::shared_ptr<ConnectionPipeline> pipeline; // null until a request starts before its turn
    std::size_t peekedBytes = 0; // that stay unread; the socket only wakes for more. 0: for any
};

// Of connections whose socket is open:

/** Whether the peer has closed its side, even if unread bytes are pending. */
bool isClosedByPeer(const ServerConnection &connection);

/** Whether bytes have arrived that h2o has not read yet. */
bool hasUnreadBytes(const ServerConnection &connection);

/** Shuts the socket down, so that h2o reads the end of the stream and closes the connection. */
void shutDownSocket(ServerConnection &connection);

/**
 * As shutDownSocket(), for a connection without a request. A request that arrives just before h2o
 * reads the end of the stream still gets a response.
 */
void closeIdle(ServerConnection &connection);

/** Lets the socket wake the server when more than @p size unread bytes have arrived. */
void wakeBeyond(ServerConnection &connection, std::size_t size);

} // namespace cassiaroad
