#pragma once

#include "connection/keptresponses.h"
#include "process/eventloop.h"
#include "process/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cassiaroad {

/**
 * One request of an HTTP client and the means to answer it. Shared by the server and the handler;
 * the server releases it when the response is sent or the client has disconnected. The returned
 * views are valid until then; afterwards the methods return empty values. Loop thread only.
 */
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual std::string_view method() const = 0;
    virtual std::string_view path() const = 0; // as received, with query
    virtual std::string_view header(std::string_view lowerCaseName) const = 0; // "" if absent
    virtual std::vector<std::pair<std::string_view, std::string_view>> headers() const = 0;
    virtual std::string_view body() const = 0;

    /** Number of the connection, which no other one of the process has; 0 if it is not known. */
    virtual std::uint64_t connectionId() const { return 0; }

    /** When the head of the request was complete; its body may have arrived much later. */
    virtual TimePoint arrivedAt() const = 0;

    /**
     * Sends a complete response. Does nothing if the client has disconnected. Precondition: not
     * answered yet.
     */
    virtual void answer(int status, std::vector<std::pair<std::string, std::string>> headers,
                        std::string body)
            = 0;

    /**
     * Sets memory aside for the response. Returns false if there is none, because clients do not
     * read what they are sent: then the request must be refused before it runs.
     */
    virtual bool reserveResponse() { return true; }

    /** Whether the client disconnected or cancelled the request before it was answered. */
    virtual bool isClientGone() const = 0;

    /** Calls @p callback once if the client disconnects or cancels before it is answered. */
    virtual void onClientGone(std::function<void()> callback) = 0;
};

/** Limits of one listener. */
struct HttpServerLimits
{
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    std::uint32_t maxConnections = 20000;
    // After this time, plus one second per KiB received, a request must be complete. Connections of
    // slower clients are closed, so that they don't occupy connections and buffers.
    Milliseconds receiveGracePeriod { 10000 };
    Milliseconds idleTimeout { 60000 }; // a connection without a request is closed after this time
    // A connection whose client acknowledges nothing of its response for this time is closed.
    Milliseconds unreadTimeout { 10000 };
    // While memory is short, a client that makes no progress for this time is disconnected so that
    // others get its memory. Longer than a few lost segments take to be sent again.
    Milliseconds shortMemoryTimeout { 2000 };
    // Bytes that all requests and unwritten responses hold. A response that does not fit although
    // room was set aside is replaced by 502, since its request has run. A request that does not fit
    // is not read; it is refused as not run after maxMemoryWait, or at once if it is larger than
    // the bound.
    std::size_t maxRequestBytes = 80UL * 1024 * 1024;
    // While there is little else, one request that is larger than the bound may hold so much. 0:
    // none.
    std::size_t maxLargestRequestBytes = 0;
    Milliseconds maxMemoryWait { 4000 };
    std::size_t maxHeadBytes = 32UL * 1024; // of a request; a larger head gets 431
    // A connection whose request has no complete head after this time is closed.
    Milliseconds headTimeout { 60000 };
    // Connections that are kept free for new clients by closing idle ones. 0: none is closed.
    std::uint32_t reservedConnections = 0;
    // While more connections are open, each response closes its HTTP/1.1 connection and announces
    // it. Unlike a connection that is closed while it is idle, the client knows that its next
    // request needs a new one. 0: connections are kept.
    std::uint32_t maxKeptConnections = 0;
    // Requests of one HTTP/1.1 connection that are started before their turn.
    std::uint32_t maxRequestsAhead = 8;

    /** Limits of a listener that answers small questions of a few hosts, such as readiness checks.
     */
    static HttpServerLimits withoutBodies();

    bool operator==(const HttpServerLimits &) const = default;
};

/** What the open connections of a listener still have to receive or to send. */
struct HttpServerBacklog
{
    std::size_t connections = 0;
    std::size_t incompleteRequests = 0; // a part of each has arrived
    std::size_t openRequests = 0; // handed to the handler, not answered
    std::size_t unwrittenResponses = 0; // answered, but not completely written to the socket

    bool operator==(const HttpServerBacklog &) const = default;
};

struct ClientRoomCounts;
/** Pipelined requests of a listener that were started before their turn. */
struct RequestsAhead
{
    std::size_t open = 0; // have not had their turn
    std::size_t heldBytes = 0; // that these and their responses reserve
    std::uint64_t started = 0; // since the start

    bool operator==(const RequestsAhead &) const = default;
};

/** HTTP/1.1 and HTTP/2 (prior knowledge) listener on h2o. Loop thread only. */
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    /**
     * Tells whether a request with this method, host and path may be handled while the requests
     * that were sent before it on the same connection are still open.
     */
    using MayRunAhead = std::function<RunAhead(std::string_view method, std::string_view host,
                                               std::string_view path)>;

    /** Of a request that is larger than the bound of all; see HttpServerLimits. */
    struct LargestRequestHandlers
    {
        std::function<bool()> mayHold; // whether others leave room for it, until `ended`
        std::function<void()> ended;
    };

    /** Without @p mayRunAhead, each HTTP/1.1 request is handled when its turn has come. */
    HttpServer(EventLoop &loop, HttpServerLimits limits, Handler handler,
               MayRunAhead mayRunAhead = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Sets what is asked before a request is read that is larger than the bound of all. */
    void setLargestRequestHandlers(LargestRequestHandlers handlers);

    /** Binds and listens; port 0 picks a free port. Returns an empty text, or an error message. */
    std::string listen(const HostAddress &address);

    /**
     * Changes the limits, also for open connections and for requests that still arrive, except
     * those of the memory, which stay as they are.
     */
    void setLimits(const HttpServerLimits &limits);

    /**
     * From now on, closes each HTTP/1.1 connection after its next response, which announces it. If
     * requests behind that response were started before their turn, the last one of them is the one
     * that closes. No further request is started before its turn.
     */
    void closeAfterNextResponse();

    /**
     * Shuts down gracefully: stops accepting connections and closes each one after its current
     * request. Calls @p done when no connection is left.
     */
    void shutDown(std::function<void()> done);

    std::size_t connectionCount() const;

    /** How many connections were closed when they opened, as too many were open. */
    std::uint64_t rejectedConnectionCount() const;

    /**
     * Whether a new connection is accepted now, or will be once idle ones are closed, which takes
     * a second at most.
     */
    bool hasRoom() const;

    /** Returns what is open at present. Takes time in proportion to the number of connections. */
    HttpServerBacklog backlog() const;

    /** Bytes of requests, without those below 4 KiB, and of unwritten responses. */
    std::size_t heldRequestBytes() const;

    /** How many requests that are larger than the bound of all were read in calm. */
    std::uint64_t largestRequestCount() const;

    /** How often the listener has acted because its memory was short. */
    const ClientRoomCounts &roomCounts() const;
    /** Returns how many requests are and were started before their turn. */
    RequestsAhead requestsAhead() const;

    /** Port that was bound; differs from the requested one if that was 0. 0 before listen(). */
    std::uint16_t port() const;

private:
    struct Private;
    Private *d; // outlives this object until its last connection is closed, then deletes itself
};

} // namespace cassiaroad
