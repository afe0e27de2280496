#include "connection/httpserver.h"

#include "connection/h2oexchange.h"
#include "connection/lingeringclose.h"
#include "connection/requesthead.h"
#include "connection/serverconnection.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <unordered_set>

#include <h2o.h>

namespace cassiaroad {

namespace {

constexpr int listenBacklog = 4096;
constexpr int acceptsPerTurn = 32;
constexpr std::size_t maxHeadBytes = 32UL * 1024;
constexpr Milliseconds sweepInterval { 500 };
constexpr std::int64_t minBytesPerSecond = 1024;
// A connection without a request is closed this long after the shutdown began, so that a request
// that is already on its way is still answered.
constexpr Milliseconds shutdownIdle { 500 };
// h2o's own limits follow the wall clock and do not tell progress from silence; the sweep replaces
// them.
constexpr std::uint64_t h2oRequestTimeout = 24ULL * 3600 * 1000;
constexpr int http2Version = 0x200;
constexpr int payloadTooLarge = 413;

std::size_t headBytes(const h2o_req_t &request)
{
    std::size_t size = request.input.path.len + request.input.authority.len;
    for (std::size_t i = 0; i < request.headers.size; ++i) {
        size += request.headers.entries[i].name->len + request.headers.entries[i].value.len;
    }
    return size;
}

bool isClosedByPeer(h2o_socket_t *socket)
{
    pollfd entry { h2o_socket_get_fd(socket), POLLRDHUP, 0 };
    return poll(&entry, 1, 0) > 0;
}

void closeSoon(ServerConnection &connection)
{
    connection.closing = true;
    shutdown(h2o_socket_get_fd(connection.socket), SHUT_RDWR);
}

// Whether bytes have arrived that h2o has not read.
bool hasUnreadBytes(h2o_socket_t *socket)
{
    char byte = 0;
    return recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool isHeadTooLong(const h2o_socket_t &socket)
{
    const std::string_view input(socket.input->bytes, socket.input->size);
    return input.size() > maxHeadBytes
           && input.substr(0, maxHeadBytes).find("\n\r\n") == std::string_view::npos;
}

} // namespace

// Destroyed when its HttpServer is gone and its last connection is closed, because h2o connections
// cannot be closed at once.
struct HttpServer::Private
{
    Private(EventLoop &loop, HttpServerLimits limits, Handler handler);
    ~Private();
    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    static int onRequest(h2o_handler_t *self, h2o_req_t *request);
    static void onAcceptable(h2o_socket_t *listener, const char *error);
    static void onClosed(void *data);
    static void markOwnAnswers(h2o_filter_t *self, h2o_req_t *request, h2o_ostream_t **slot);

    void acceptOne(h2o_socket_t *listener);
    int refuse(h2o_req_t *request, int status, const char *reason);
    void sweep();
    void sweepConnection(ServerConnection &connection, TimePoint now);
    void closeListener();
    void finishIfEmpty();

    EventLoop &loop;
    HttpServerLimits limits;
    Handler handler;
    h2o_globalconf_t config {};
    h2o_context_t context {};
    h2o_accept_ctx_t acceptContext {};
    h2o_socket_t *listener = nullptr;
    std::uint16_t port = 0;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections;
    LingeringClose lingering;
    EventLoop::Timer sweeper;
    bool closesAfterAnswers = false;
    bool shuttingDown = false;
    bool orphaned = false;
    std::function<void()> shutDownDone;
};

namespace {

struct AnswerFilter
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

HttpServer::Private::Private(EventLoop &loop, HttpServerLimits limits, Handler handler)
    : loop(loop)
    , limits(limits)
    , handler(std::move(handler))
    , lingering(loop)
{
    h2o_config_init(&this->config);
    this->config.server_name = h2o_iovec_init(H2O_STRLIT("cassiaroad"));
    this->config.max_request_entity_size = limits.maxBodyBytes;
    this->config.http1.req_timeout = h2oRequestTimeout;
    this->config.http2.idle_timeout = static_cast<std::uint64_t>(limits.idleTimeout.count);
    h2o_hostconf_t *host
            = h2o_config_register_host(&this->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    auto *entry
            = reinterpret_cast<RequestHandler *>(h2o_create_handler(path, sizeof(RequestHandler)));
    entry->super.on_req = &Private::onRequest;
    entry->server = this;
    for (h2o_pathconf_t *marked : { path, &host->fallback_path }) {
        auto *filter
                = reinterpret_cast<AnswerFilter *>(h2o_create_filter(marked, sizeof(AnswerFilter)));
        filter->super.on_setup_ostream = &Private::markOwnAnswers;
        filter->server = this;
    }
    h2o_context_init(&this->context, loop.h2oLoop(), &this->config);
    this->acceptContext.ctx = &this->context;
    this->acceptContext.hosts = this->config.hosts;
    this->sweeper = loop.callEvery(sweepInterval, [this] { this->sweep(); });
}

HttpServer::Private::~Private()
{
    // Linked for a second after h2o_context_request_shutdown, which h2o_context_dispose refuses.
    h2o_timeout_unlink(&this->context.http2._graceful_shutdown_timeout);
    h2o_context_dispose(&this->context);
    h2o_config_dispose(&this->config);
}

// Answers that h2o generates while it reads a request (400, 413) are refusals of requests that no
// handler has seen.
void HttpServer::Private::markOwnAnswers(h2o_filter_t *self, h2o_req_t *request,
                                         h2o_ostream_t **slot)
{
    if (!H2oExchange::isAnswering()) {
        if (request->res.status == payloadTooLarge && request->version < http2Version) {
            h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
            auto *d = static_cast<Private *>(reinterpret_cast<AnswerFilter *>(self)->server);
            d->lingering.add(h2o_socket_get_fd(socket));
        }
        h2o_add_header_by_str(&request->pool, &request->res.headers,
                              H2O_STRLIT("cassiaroad-outcome"), 0, nullptr, H2O_STRLIT("not-run"));
    }
    h2o_setup_next_ostream(request, slot);
}

int HttpServer::Private::refuse(h2o_req_t *request, int status, const char *reason)
{
    request->http1_is_persistent = 0;
    h2o_send_error_generic(request, status, reason, reason, 0);
    return 0;
}

int HttpServer::Private::onRequest(h2o_handler_t *self, h2o_req_t *request)
{
    auto *d = static_cast<Private *>(reinterpret_cast<RequestHandler *>(self)->server);
    h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    auto *connection = static_cast<ServerConnection *>(socket->on_close.data);
    if (d->orphaned || connection->closing) {
        return d->refuse(request, 503, "Service Unavailable");
    }
    if (headBytes(*request) > maxHeadBytes) {
        return d->refuse(request, 431, "Request Header Fields Too Large");
    }
    const bool http1 = request->version < http2Version;
    // h2o keeps an HTTP/1.1 request in the socket's buffer until it is answered.
    if (http1 && request->entity.base != nullptr
        && hasAmbiguousLength({ socket->input->bytes, socket->input->size })) {
        return d->refuse(request, 400, "Bad Request");
    }
    if (d->closesAfterAnswers) {
        request->http1_is_persistent = 0;
    }
    connection->receiving = false;
    auto exchange = std::make_shared<H2oExchange>(request, connection->shared_from_this());
    H2oExchange::attach(exchange);
    d->handler(std::move(exchange));
    return 0;
}

void HttpServer::Private::onAcceptable(h2o_socket_t *listener, const char *error)
{
    if (error != nullptr) {
        return;
    }
    for (int i = 0; i < acceptsPerTurn; ++i) {
        h2o_socket_t *socket = h2o_evloop_socket_accept(listener);
        if (socket == nullptr) {
            return;
        }
        static_cast<Private *>(listener->data)->acceptOne(socket);
    }
}

void HttpServer::Private::acceptOne(h2o_socket_t *socket)
{
    if (this->connections.size() >= this->limits.maxConnections) {
        h2o_socket_close(socket);
        return;
    }
    auto connection = std::make_shared<ServerConnection>();
    connection->server = this;
    connection->socket = socket;
    connection->idleSince = this->loop.now();
    socket->on_close.cb = &Private::onClosed;
    socket->on_close.data = connection.get();
    this->connections.insert(std::move(connection));
    h2o_accept(&this->acceptContext, socket);
}

void HttpServer::Private::onClosed(void *data)
{
    auto *connection = static_cast<ServerConnection *>(data);
    auto *d = static_cast<Private *>(connection->server);
    connection->socket = nullptr;
    d->connections.erase(connection->shared_from_this());
    d->finishIfEmpty();
}

void HttpServer::Private::finishIfEmpty()
{
    if (!this->connections.empty()) {
        return;
    }
    if (this->shutDownDone) {
        std::exchange(this->shutDownDone, nullptr)();
    }
}

void HttpServer::Private::sweep()
{
    const TimePoint now = this->loop.now();
    const auto snapshot = this->connections;
    for (const std::shared_ptr<ServerConnection> &connection : snapshot) {
        if (connection->socket != nullptr) {
            this->sweepConnection(*connection, now);
        }
    }
    if (this->orphaned && this->connections.empty()) {
        delete this;
    }
}

void HttpServer::Private::sweepConnection(ServerConnection &connection, TimePoint now)
{
    if (connection.openExchanges > 0) {
        if (connection.watched != nullptr && connection.watchedByPoll
            && isClosedByPeer(connection.socket)) {
            connection.watched->abandon();
        }
        return;
    }
    const auto buffered = static_cast<std::int64_t>(connection.socket->input->size);
    if (buffered == 0) {
        connection.receiving = false;
        const Milliseconds limit = this->shuttingDown ? shutdownIdle : this->limits.idleTimeout;
        if (now - connection.idleSince > limit && !hasUnreadBytes(connection.socket)) {
            closeSoon(connection);
        }
        return;
    }
    if (!connection.receiving) {
        connection.receiving = true;
        connection.receivingSince = now;
    }
    const Milliseconds allowed
            = this->limits.receiveGrace + Milliseconds { buffered * 1000 / minBytesPerSecond };
    if (now - connection.receivingSince > allowed || isHeadTooLong(*connection.socket)) {
        closeSoon(connection);
    }
}

void HttpServer::Private::closeListener()
{
    if (this->listener != nullptr) {
        h2o_socket_close(std::exchange(this->listener, nullptr));
    }
}

HttpServer::HttpServer(EventLoop &loop, HttpServerLimits limits, Handler handler)
    : d(new Private(loop, limits, std::move(handler)))
{ }

HttpServer::~HttpServer()
{
    this->d->closeListener();
    this->d->shutDownDone = nullptr;
    this->d->handler = nullptr;
    if (this->d->connections.empty()) {
        delete this->d;
        return;
    }
    this->d->orphaned = true;
    for (const std::shared_ptr<ServerConnection> &connection : this->d->connections) {
        closeSoon(*connection);
    }
}

std::string HttpServer::listen(const HostAddress &address)
{
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr) != 1) {
        return "address " + address.toString() + " is not an IPv4 address";
    }
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    socklen_t length = sizeof(target);
    auto *generic = reinterpret_cast<sockaddr *>(&target);
    if (fd < 0 || bind(fd, generic, length) != 0 || ::listen(fd, listenBacklog) != 0
        || getsockname(fd, generic, &length) != 0) {
        const std::string reason = std::strerror(errno);
        if (fd >= 0) {
            close(fd);
        }
        return "cannot listen on " + address.toString() + ": " + reason;
    }
    this->d->port = ntohs(target.sin_port);
    this->d->listener
            = h2o_evloop_socket_create(this->d->loop.h2oLoop(), fd, H2O_SOCKET_FLAG_DONT_READ);
    this->d->listener->data = this->d;
    h2o_socket_read_start(this->d->listener, &Private::onAcceptable);
    return {};
}

void HttpServer::closeAfterNextResponse()
{
    this->d->closesAfterAnswers = true;
}

void HttpServer::shutDown(std::function<void()> done)
{
    this->d->closeListener();
    this->closeAfterNextResponse();
    this->d->shuttingDown = true;
    this->d->shutDownDone = std::move(done);
    const TimePoint now = this->d->loop.now();
    for (const std::shared_ptr<ServerConnection> &connection : this->d->connections) {
        connection->idleSince = now;
    }
    h2o_context_request_shutdown(&this->d->context);
    this->d->finishIfEmpty();
}

std::size_t HttpServer::connectionCount() const
{
    return this->d->connections.size();
}

std::uint16_t HttpServer::port() const
{
    return this->d->port;
}

} // namespace cassiaroad
