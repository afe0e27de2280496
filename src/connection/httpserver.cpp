#include "connection/httpserver.h"

#include "connection/clientroom.h"
#include "connection/connectionroom.h"
#include "connection/connectiontimeouts.h"
#include "connection/earlyrefusal.h"
#include "connection/h2oexchange.h"
#include "connection/http2requestend.h"
#include "connection/lingeringclose.h"
#include "connection/listensocket.h"
#include "connection/pipeliner.h"
#include "connection/requesthead.h"
#include "connection/requestreader.h"
#include "connection/serverconnection.h"

#include <algorithm>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unordered_set>

#include <h2o.h>

namespace cassiaroad {

namespace {

constexpr int listenBacklog = 4096;
constexpr int maxAcceptsPerIteration = 32;
constexpr Milliseconds sweepInterval { 500 };
// Shortest interval between two searches for idle connections to close. A search asks the system
// about each idle one.
constexpr Milliseconds roomInterval { 100 };
// So long that the sweep always closes a connection first: h2o's own timeouts follow the wall clock
// and do not distinguish progress from silence, so the sweep enforces the timeouts instead.
constexpr std::uint64_t h2oRequestTimeout = 24ULL * 3600 * 1000;
// An HTTP/2 connection on which frames have arrived within this time may have a request whose body
// still arrives.
constexpr Milliseconds frameQuietPeriod { 1000 };
constexpr int http2Version = 0x200;
constexpr int payloadTooLarge = 413;
constexpr int serviceUnavailable = 503;
// Connections that may be open beside a request that is larger than the bound of all: each takes up
// to 14 KB that are not counted.
constexpr std::size_t maxConnectionsBesideLargest = 500;

std::size_t headBytes(const h2o_req_t &request)
{
    std::size_t size = request.input.path.len + request.input.authority.len;
    for (std::size_t i = 0; i < request.headers.size; ++i) {
        size += request.headers.entries[i].name->len + request.headers.entries[i].value.len;
    }
    return size;
}

} // namespace

HttpServerLimits HttpServerLimits::withoutBodies()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = 0;
    limits.maxConnections = 200;
    limits.reservedConnections = 20;
    // 200 heads, and responses of a megabyte, such as metrics.
    limits.maxRequestBytes = std::size_t(8) * 1024 * 1024;
    return limits;
}

// Outlives its HttpServer until its last connection is closed, because h2o connections cannot be
// closed synchronously.
struct HttpServer::Private
{
    Private(EventLoop &loop, HttpServerLimits limits, Handler handler, MayRunAhead mayRunAhead);
    ~Private();
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    static int onRequest(h2o_handler_t *self, h2o_req_t *request);
    static void onAcceptable(h2o_socket_t *listener, const char *error);
    static void onClosed(void *data);
    static void markGeneratedResponses(h2o_filter_t *self, h2o_req_t *request,
                                       h2o_ostream_t **slot);

    void setLimits(const HttpServerLimits &changed);
    /** Whether the head of a complete request is larger than the limit. */
    bool isHeadTooLarge(const h2o_req_t &request, const ServerConnection &connection) const;
    /** Accepts connections that wait, at most @p maxCount. */
    void acceptConnections(int maxCount);
    void acceptOne(h2o_socket_t *listener);
    /** Whether @p connection closes after its next response, which announces it. */
    bool closesAfterNext(const ServerConnection &connection) const;
    bool mayHoldLargest() const;
    /** Refuses a request that is larger than the bound of all when many connections are open. */
    void limitLargest();
    /** Closes idle connections, so that the reserved number stays free for new ones. */
    void makeRoom();
    /** Whether @p connection has no request in progress. */
    bool isIdle(const ServerConnection &connection) const;
    /** Sends an error response and closes the connection after it. */
    int refuse(h2o_req_t *request, int status, const char *reason);
    /** Hands a request whose turn has come to the handler, unless it was started before. */
    void handle(h2o_req_t *request, ServerConnection &connection);
    /** Returns when the head of a complete request was complete. */
    TimePoint headArrival(const h2o_req_t &request, ServerConnection &connection);
    /** Answers the request that is still arriving, and closes the connection. */
    void refuseEarly(ServerConnection &connection, int status);
    /** Checks all connections; deletes this if the server is destroyed and none is left. */
    void sweep();
    void closeListener();
    void finishShutDownIfEmpty();

    EventLoop &loop;
    HttpServerLimits limits;
    Handler handler;
    h2o_globalconf_t config {};
    h2o_context_t context {};
    h2o_accept_ctx_t acceptContext {};
    h2o_socket_t *listener = nullptr;
    std::uint16_t port = 0;
    RequestReader reader;
    ClientRoom::Connections connections;
    ClientRoom room;
    Pipeliner pipeliner;
    LingeringClose lingeringClose;
    ConnectionTimeouts timeouts;
    EventLoop::Timer sweepTimer;
    std::uint64_t rejectedCount = 0; // connections
    TimePoint roomMadeAt; // when makeRoom() last searched
    bool closesAfterResponse = false; // of HTTP/1.1 connections
    bool serverDestroyed = false;
    std::function<void()> shutDownCallback;
    LargestRequestHandlers largestRequest;
};

namespace {

struct ResponseFilter
{
    h2o_filter_t super;
    void *server;
};

struct RequestHandler
{
    h2o_handler_t super;
    void *server;
};

} // namespace

HttpServer::Private::Private(EventLoop &loop, HttpServerLimits limits, Handler handler,
                             MayRunAhead mayRunAhead)
    : loop(loop)
    , limits(limits)
    , handler(std::move(handler))
    , reader(loop, this->config,
             { limits.maxRequestBytes, limits.maxLargestRequestBytes, limits.maxMemoryWait,
               limits.maxHeadBytes, limits.maxBodyBytes },
             { [this](ServerConnection &connection, int status) {
                  this->refuseEarly(connection, status);
              },
               [this](std::size_t missing) { return this->room.makeRoom(missing); },
               [this] { return this->mayHoldLargest(); },
               [this] {
                   if (this->largestRequest.ended) {
                       this->largestRequest.ended();
                   }
               } })
    , room(loop, this->reader.requestMemory(), this->connections,
           [this](ServerConnection &connection) {
               this->refuseEarly(connection, serviceUnavailable);
           })
    , pipeliner(loop, this->reader, limits, std::move(mayRunAhead),
                [this](std::shared_ptr<HttpExchange> exchange) {
                    this->handler(std::move(exchange));
                })
    , lingeringClose(loop)
    , timeouts(this->limits)
{
    // Buffers of the reader have their final size, and none of them is to be a file.
    h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
    h2o_config_init(&this->config);
    this->config.server_name = h2o_iovec_init(H2O_STRLIT("cassiaroad"));
    this->config.http1.req_timeout = h2oRequestTimeout;
    this->config.http1.upgrade_to_http2 = 0; // RequestReader allows it for new connections
    this->config.http2.idle_timeout = h2oRequestTimeout;
    this->setLimits(limits);
    h2o_hostconf_t *host
            = h2o_config_register_host(&this->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    auto *entry
            = reinterpret_cast<RequestHandler *>(h2o_create_handler(path, sizeof(RequestHandler)));
    entry->super.on_req = &Private::onRequest;
    entry->server = this;
    for (h2o_pathconf_t *filteredPath : { path, &host->fallback_path }) {
        auto *filter = reinterpret_cast<ResponseFilter *>(
                h2o_create_filter(filteredPath, sizeof(ResponseFilter)));
        filter->super.on_setup_ostream = &Private::markGeneratedResponses;
        filter->server = this;
    }
    h2o_context_init(&this->context, loop.h2oLoop(), &this->config);
    this->acceptContext.ctx = &this->context;
    this->acceptContext.hosts = this->config.hosts;
    this->sweepTimer = loop.callEvery(sweepInterval, [this] { this->sweep(); });
}

void HttpServer::Private::setLimits(const HttpServerLimits &changed)
{
    this->limits = changed;
    this->config.max_request_entity_size
            = changed.maxBodyBytes + RequestReader::bodySlack(changed.maxHeadBytes);
    this->reader.setMaxSizes(changed.maxHeadBytes, changed.maxBodyBytes);
    this->room.setMinQuiet(changed.shortMemoryTimeout);
    this->pipeliner.setMaxHeadBytes(changed.maxHeadBytes);
}

HttpServer::Private::~Private()
{
    // The shutdown of HTTP/2 leaves this timer linked for a second, and h2o_context_dispose
    // requires that it is not linked.
    h2o_timeout_unlink(&this->context.http2._graceful_shutdown_timeout);
    h2o_context_dispose(&this->context);
    h2o_config_dispose(&this->config);
}

// Marks the error responses that h2o generates while it reads a request (400, 413) as "not-run",
// because no handler has seen their requests. A 413 on HTTP/1.1 also needs a lingering close: the
// client may still be sending the body.
void HttpServer::Private::markGeneratedResponses(h2o_filter_t *self, h2o_req_t *request,
                                                 h2o_ostream_t **slot)
{
    if (request->version >= http2Version) {
        notifyOfEnd(*request);
    }
    if (!H2oExchange::isAnswering()) {
        if (request->res.status == payloadTooLarge && request->version < http2Version) {
            h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
            auto *d = static_cast<Private *>(reinterpret_cast<ResponseFilter *>(self)->server);
            d->lingeringClose.add(h2o_socket_get_fd(socket));
        }
        h2o_add_header_by_str(&request->pool, &request->res.headers,
                              H2O_STRLIT("cassiaroad-outcome"), 0, nullptr, H2O_STRLIT("not-run"));
    }
    h2o_setup_next_ostream(request, slot);
}

int HttpServer::Private::refuse(h2o_req_t *request, int status, const char *reason)
{
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    this->pipeliner.cancel(*static_cast<ServerConnection *>(socket->on_close.data));
    request->http1_is_persistent = 0;
    h2o_send_error_generic(request, status, reason, reason, 0);
    return 0;
}

void HttpServer::Private::refuseEarly(ServerConnection &connection, int status)
{
    if (connection.http2) {
        connection.closing = true;
        RequestReader::end(connection);
        return;
    }
    const std::string text = earlyRefusal(status);
    const int fd = h2o_socket_get_fd(connection.socket);
    // A response that does not fit into the socket's buffer is lost with the connection.
    [[maybe_unused]] const ssize_t count
            = send(fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    this->lingeringClose.add(fd);
    connection.closing = true;
    RequestReader::end(connection);
}

int HttpServer::Private::onRequest(h2o_handler_t *self, h2o_req_t *request)
{
    auto *d = static_cast<Private *>(reinterpret_cast<RequestHandler *>(self)->server);
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    auto *connection = static_cast<ServerConnection *>(socket->on_close.data);
    if (d->serverDestroyed || connection->closing) {
        return d->refuse(request, 503, "Service Unavailable");
    }
    if (d->isHeadTooLarge(*request, *connection)) {
        return d->refuse(request, 431, "Request Header Fields Too Large");
    }
    if (request->entity.len > d->limits.maxBodyBytes) {
        return d->refuse(request, payloadTooLarge, "Content Too Large");
    }
    const bool http1 = request->version < http2Version;
    // h2o keeps the bytes of an HTTP/1.1 request in the socket's buffer until it is answered.
    if (http1 && request->entity.base != nullptr
        && hasAmbiguousLength({ socket->input->bytes, socket->input->size })) {
        return d->refuse(request, 400, "Bad Request");
    }
    if (d->closesAfterNext(*connection)) {
        request->http1_is_persistent = 0;
    }
    connection->receiving = false;
    connection->hasSentRequest = true;
    d->handle(request, *connection);
    return 0;
}

void HttpServer::Private::handle(h2o_req_t *request, ServerConnection &connection)
{
    const bool isPersistent = request->version < http2Version && request->http1_is_persistent != 0;
    auto exchange = std::make_shared<H2oExchange>(request, connection.shared_from_this(),
                                                  this->headArrival(*request, connection));
    H2oExchange::attach(exchange);
    if (request->version >= http2Version || !this->pipeliner.takeTurn(connection, exchange)) {
        this->handler(exchange);
    }
    if (isPersistent) {
        this->pipeliner.startFollowing(connection, *exchange);
    } else {
        this->pipeliner.cancel(connection);
    }
}

// h2o keeps the bytes of an HTTP/1.1 request in the socket's buffer until it is answered.
bool HttpServer::Private::isHeadTooLarge(const h2o_req_t &request,
                                         const ServerConnection &connection) const
{
    const std::size_t limit = this->limits.maxHeadBytes;
    const std::string_view input { connection.socket->input->bytes,
                                   connection.socket->input->size };
    const bool http1 = request.version < http2Version;
    return headBytes(request) > limit || (http1 && findHeadEnd(input.substr(0, limit)) == 0);
}

// The reader does not see the streams of HTTP/2. h2o notes the arrival of their heads by the wall
// clock, so that the result is kept within the life of the connection.
TimePoint HttpServer::Private::headArrival(const h2o_req_t &request, ServerConnection &connection)
{
    const TimePoint now = this->loop.now();
    if (request.version < http2Version) {
        return std::exchange(connection.headArrivedAt, std::nullopt).value_or(now);
    }
    timeval begun = request.timestamps.request_begin_at;
    timeval *wallClock = h2o_get_timestamp(&this->context, nullptr, nullptr);
    const Milliseconds age { h2o_timeval_subtract(&begun, wallClock) / 1000 };
    return std::clamp(now - age, connection.acceptedAt, now);
}

void HttpServer::Private::onAcceptable(h2o_socket_t *listener, const char *error)
{
    if (error != nullptr) {
        return;
    }
    auto *d = static_cast<Private *>(listener->data);
    d->acceptConnections(maxAcceptsPerIteration);
    d->makeRoom();
}

void HttpServer::Private::acceptConnections(int maxCount)
{
    for (int i = 0; i < maxCount; ++i) {
        h2o_socket_t *socket = h2o_evloop_socket_accept(this->listener);
        if (socket == nullptr) {
            return;
        }
        this->acceptOne(socket);
    }
}

void HttpServer::Private::acceptOne(h2o_socket_t *socket)
{
    if (this->connections.size() >= this->limits.maxConnections) {
        ++this->rejectedCount;
        h2o_socket_close(socket);
        return;
    }
    auto connection = std::make_shared<ServerConnection>();
    connection->server = this;
    connection->socket = socket;
    connection->room = &this->room;
    connection->acceptedAt = this->loop.now();
    connection->idleSince = connection->acceptedAt;
    connection->pipeliner = &this->pipeliner;
    socket->on_close.cb = &Private::onClosed;
    socket->on_close.data = connection.get();
    this->connections.insert(connection);
    h2o_accept(&this->acceptContext, socket);
    this->reader.start(*connection);
    this->limitLargest();
}

bool HttpServer::Private::closesAfterNext(const ServerConnection &connection) const
{
    if (Pipeliner::hasStartedBehindNext(connection)) {
        return false;
    }
    const std::uint32_t maxKept = this->limits.maxKeptConnections;
    return this->closesAfterResponse || (maxKept > 0 && this->connections.size() > maxKept);
}

bool HttpServer::Private::mayHoldLargest() const
{
    return this->connections.size() <= maxConnectionsBesideLargest
           && (!this->largestRequest.mayHold || this->largestRequest.mayHold());
}

void HttpServer::Private::limitLargest()
{
    ServerConnection *connection = this->reader.largestRequest();
    if (this->connections.size() > maxConnectionsBesideLargest && connection != nullptr
        && connection->openExchanges == 0) {
        this->refuseEarly(*connection, serviceUnavailable);
    }
}

bool HttpServer::Private::isIdle(const ServerConnection &connection) const
{
    const bool http1 = connection.readCallback == connection.http1Callback;
    return connection.socket != nullptr && connection.openExchanges == 0
           && connection.socket->input->size == 0
           && (http1 || this->loop.now() - connection.idleSince > frameQuietPeriod)
           && !hasUnreadBytes(connection);
}

void HttpServer::Private::makeRoom()
{
    const std::uint32_t reserved = this->limits.reservedConnections;
    std::size_t excess
            = excessConnections(this->connections.size(), this->limits.maxConnections, reserved);
    const TimePoint now = this->loop.now();
    if (reserved == 0 || excess == 0 || now - this->roomMadeAt < roomInterval) {
        return;
    }
    this->roomMadeAt = now;
    std::vector<std::shared_ptr<ServerConnection>> closable;
    std::vector<IdleConnection> idle;
    for (const std::shared_ptr<ServerConnection> &connection : this->connections) {
        if (connection->closing) {
            excess -= std::min<std::size_t>(excess, 1);
        } else if (this->isIdle(*connection)) {
            idle.push_back({ closable.size(), connection->hasSentRequest, connection->idleSince });
            closable.push_back(connection);
        }
    }
    for (const std::size_t index : chooseConnectionsToClose(idle, excess, now)) {
        closeIdle(*closable[index]);
    }
}

void HttpServer::Private::onClosed(void *data)
{
    auto *connection = static_cast<ServerConnection *>(data);
    auto *d = static_cast<Private *>(connection->server);
    connection->socket = nullptr;
    d->reader.onClosed(*connection);
    d->pipeliner.cancel(*connection);
    d->connections.erase(connection->shared_from_this());
    d->finishShutDownIfEmpty();
}

void HttpServer::Private::finishShutDownIfEmpty()
{
    if (!this->connections.empty()) {
        return;
    }
    if (this->shutDownCallback) {
        std::exchange(this->shutDownCallback, nullptr)();
    }
}

void HttpServer::Private::sweep()
{
    const TimePoint now = this->loop.now();
    const auto snapshot = this->connections;
    for (const std::shared_ptr<ServerConnection> &connection : snapshot) {
        if (connection->socket != nullptr) {
            this->timeouts.check(*connection, now);
        }
    }
    this->makeRoom();
    if (this->serverDestroyed && this->connections.empty()) {
        delete this;
    }
}

void HttpServer::Private::closeListener()
{
    if (this->listener != nullptr) {
        h2o_socket_close(std::exchange(this->listener, nullptr));
    }
}

HttpServer::HttpServer(EventLoop &loop, HttpServerLimits limits, Handler handler,
                       MayRunAhead mayRunAhead)
    : d(new Private(loop, limits, std::move(handler), std::move(mayRunAhead)))
{ }

HttpServer::~HttpServer()
{
    this->d->closeListener();
    this->d->shutDownCallback = nullptr;
    this->d->handler = nullptr;
    if (this->d->connections.empty()) {
        delete this->d;
        return;
    }
    this->d->serverDestroyed = true;
    this->d->pipeliner.stop();
    for (const std::shared_ptr<ServerConnection> &connection : this->d->connections) {
        shutDownSocket(*connection);
    }
}

void HttpServer::setLargestRequestHandlers(LargestRequestHandlers handlers)
{
    this->d->largestRequest = std::move(handlers);
}

std::string HttpServer::listen(const HostAddress &address)
{
    const std::variant<int, ListenError> opened = openListener(address, listenBacklog);
    if (const auto *error = std::get_if<ListenError>(&opened)) {
        return error->reason;
    }
    const int fd = std::get<int>(opened);
    sockaddr_in bound {};
    socklen_t length = sizeof(bound);
    getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &length);
    this->d->port = ntohs(bound.sin_port);
    this->d->listener
            = h2o_evloop_socket_create(this->d->loop.h2oLoop(), fd, H2O_SOCKET_FLAG_DONT_READ);
    this->d->listener->data = this->d;
    h2o_socket_read_start(this->d->listener, &Private::onAcceptable);
    return {};
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    this->d->setLimits(limits);
}

void HttpServer::closeAfterNextResponse()
{
    this->d->closesAfterResponse = true;
    this->d->pipeliner.stop();
}

void HttpServer::shutDown(std::function<void()> done)
{
    // Closing the listener resets the connections that wait to be accepted, with the requests that
    // clients have sent on them.
    if (this->d->listener != nullptr) {
        this->d->acceptConnections(listenBacklog);
    }
    this->d->closeListener();
    this->closeAfterNextResponse();
    this->d->timeouts.shutDown();
    this->d->shutDownCallback = std::move(done);
    const TimePoint now = this->d->loop.now();
    for (const std::shared_ptr<ServerConnection> &connection : this->d->connections) {
        connection->idleSince = now;
    }
    // h2o_context_request_shutdown() would also close each HTTP/1.1 connection with its next
    // response, though requests behind it were started: closeAfterNextResponse() does that.
    this->d->config.http2.callbacks.request_shutdown(&this->d->context);
    this->d->finishShutDownIfEmpty();
}

std::size_t HttpServer::connectionCount() const
{
    return this->d->connections.size();
}

std::uint64_t HttpServer::rejectedConnectionCount() const
{
    return this->d->rejectedCount;
}

bool HttpServer::hasRoom() const
{
    const auto &connections = this->d->connections;
    if (connections.size() < this->d->limits.maxConnections) {
        return true;
    }
    return this->d->limits.reservedConnections > 0
           && std::any_of(connections.begin(), connections.end(), [this](const auto &connection) {
                  return connection->closing || this->d->isIdle(*connection);
              });
}

HttpServerBacklog HttpServer::backlog() const
{
    HttpServerBacklog backlog;
    backlog.connections = this->d->connections.size();
    for (const std::shared_ptr<ServerConnection> &connection : this->d->connections) {
        const std::uint32_t open = connection->openExchanges;
        backlog.openRequests += open - connection->unwrittenResponses;
        backlog.unwrittenResponses += connection->unwrittenResponses;
        if (open == 0 && connection->socket != nullptr && connection->socket->input->size > 0) {
            ++backlog.incompleteRequests;
        }
    }
    return backlog;
}

std::size_t HttpServer::heldRequestBytes() const
{
    return this->d->reader.heldBytes();
}

std::uint64_t HttpServer::largestRequestCount() const
{
    return this->d->reader.largestRequestCount();
}

const ClientRoomCounts &HttpServer::roomCounts() const
{
    return this->d->room.counts();
}

RequestsAhead HttpServer::requestsAhead() const
{
    return this->d->pipeliner.requestsAhead();
}

std::uint16_t HttpServer::port() const
{
    return this->d->port;
}

} // namespace cassiaroad
