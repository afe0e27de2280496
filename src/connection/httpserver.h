#pragma once

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
 * One request of an HTTP client and the way to answer it. Kept alive by whoever holds it; the
 * server holds it until the answer is sent or the client has gone. The returned views are valid
 * until then; afterwards the methods return empty values. Loop thread only.
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

    /** Sends the whole answer. Does nothing if the client has gone. Precondition: not answered. */
    virtual void answer(int status, std::vector<std::pair<std::string, std::string>> headers,
                        std::string body)
            = 0;

    /** Whether the client closed its connection or cancelled the request before it was answered. */
    virtual bool isClientGone() const = 0;

    /** Calls @p callback once if the client goes before it is answered. */
    virtual void onClientGone(std::function<void()> callback) = 0;
};

/** Limits of one listener. */
struct HttpServerLimits
{
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    std::uint32_t maxConnections = 20000;
    // After this time a request must have arrived at 1 KiB/s on average; slower senders are cut off
    // so that they cannot hold connections and buffers.
    Milliseconds receiveGrace { 10000 };
    Milliseconds idleTimeout { 60000 }; // longest time without a request on an open connection

    bool operator==(const HttpServerLimits &) const = default;
};

/** HTTP/1.1 and HTTP/2 (prior knowledge) listener on h2o. Loop thread only. */
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    HttpServer(EventLoop &loop, HttpServerLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Binds and listens. Returns an empty text, or why it failed. */
    std::string listen(const HostAddress &address);

    /** From now on each HTTP/1.1 connection is closed after its next answer, which says so. */
    void closeAfterNextResponse();

    /** Stops accepting and closes connections after their current request (graceful shutdown). */
    void shutDown(std::function<void()> done);

    std::size_t connectionCount() const;

    /** Returns the port that was bound; differs from the requested one if that was 0. */
    std::uint16_t port() const;

private:
    struct Private;
    Private *d; // outlives this object until its last connection is closed
};

} // namespace cassiaroad
