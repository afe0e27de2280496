#include "connection/httpcall.h"

#include "connection/refusalstatus.h"
#include "connection/socketaddress.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>

#include <linux/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <h2o.h>

namespace cassiaroad {

namespace {

// How long a server may take to accept a connection and to reset it again.
constexpr Milliseconds acceptDuration { 3 };
// Bytes that a call reads at most before others get their turn.
constexpr std::size_t maxReadBytes = std::size_t(256) * 1024;
constexpr std::size_t readBytes = std::size_t(64) * 1024; // of one system call
constexpr int statusBadRequest = 400;
// A server may close a connection with its response to a probe. The call asks on so many.
constexpr std::uint32_t maxProbes = 3;

// Returns the value of the first header @p name; empty if there is none.
std::string_view findHeader(const std::vector<std::pair<std::string, std::string>> &headers,
                            const std::string &name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const auto &header) { return header.first == name; });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

// Bytes acknowledged by the peer plus bytes received from it, from the kernel's TCP_INFO. The sum
// grows with each progress of the connection.
std::uint64_t bytesTransferred(h2o_socket_t *socket)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    if (getsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return 0;
    }
    return info.tcpi_bytes_acked + info.tcpi_bytes_received;
}

// Makes the kernel discard what is not delivered yet when the socket is closed.
void resetOnClose(h2o_socket_t *socket)
{
    const linger reset { 1, 0 };
    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

// Whether bytes, the end of the stream or an error have arrived on a connection on which no
// response is due.
bool hasUnexpectedInput(h2o_socket_t *socket)
{
    char byte = 0;
    const ssize_t count
            = recv(h2o_socket_get_fd(socket), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EINTR);
}

std::string errorText(int number)
{
    return std::generic_category().message(number);
}

// Returns the pending error of the socket, or 0, and clears it.
int takeError(h2o_socket_t *socket)
{
    int number = 0;
    socklen_t length = sizeof(number);
    if (getsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_ERROR, &number, &length) != 0) {
        return errno;
    }
    return number;
}

void setUserTimeout(h2o_socket_t *socket, Milliseconds timeout)
{
    const auto value = static_cast<unsigned int>(timeout.count);
    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

} // namespace

struct HttpCall::Callbacks
{
    static HttpCall *callOf(h2o_socket_t *socket) { return static_cast<HttpCall *>(socket->data); }

    static void onConnected(h2o_socket_t *socket, const char *error)
    {
        callOf(socket)->onConnected(error);
    }

    static void onWritten(h2o_socket_t *socket, const char *error)
    {
        callOf(socket)->onWritten(error);
    }

    static void onReadable(h2o_socket_t *socket, const char *error)
    {
        callOf(socket)->onReadable(error);
    }

    static void onEarlyInput(h2o_socket_t *socket, const char *error)
    {
        callOf(socket)->onEarlyInput(error);
    }
};

HttpCall::HttpCall(std::shared_ptr<IdleConnectionPool> idleConnections, HostAddress server,
                   std::shared_ptr<ResponseMemory> memory, HttpRequest request,
                   std::size_t maxResponseBytes)
    : idleConnections(std::move(idleConnections))
    , server(std::move(server))
    , memory(std::move(memory))
    , request(std::move(request))
    , parser(this->request.method == "HEAD", maxResponseBytes)
    , progressAt(this->idleConnections->eventLoop().now())
{ }

HttpCall::~HttpCall()
{
    this->closeSocket();
    this->releaseMemory();
}

void HttpCall::releaseMemory()
{
    this->memory->resize(std::exchange(this->heldBytes, 0), 0);
}

void HttpCall::closeSocket()
{
    this->probe.reset();
    if (this->socket != nullptr) {
        if (this->request.deliveryTimeout) {
            resetOnClose(this->socket);
        }
        h2o_socket_close(std::exchange(this->socket, nullptr));
    }
}

void HttpCall::start(std::function<void(HttpResult)> done, HttpClient::DecideWrite decide,
                     Reuse reuse)
{
    this->done = std::move(done);
    this->decide = std::move(decide);
    this->state.openedAt = this->idleConnections->eventLoop().now();
    this->starting = true;
    if (reuse == Reuse::Allowed) {
        const OpenConnection idle = this->idleConnections->take(this->server);
        this->socket = idle.socket;
        this->state = idle.socket != nullptr ? idle.state : this->state;
    }
    // What has arrived since the loop last read belongs to an earlier request.
    if (this->socket != nullptr && hasUnexpectedInput(this->socket)) {
        this->closeSocket();
    }
    if (this->socket != nullptr) {
        this->reused = true;
        this->hasResponded = true;
        this->socket->data = this;
        this->write();
    } else {
        this->connect();
    }
    this->starting = false;
}

void HttpCall::connect()
{
    this->connectStartedAt = this->idleConnections->eventLoop().now();
    SocketAddress address = toSocketAddress(this->server);
    const int fd
            = ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        this->fail(HttpFailure::Stage::Connect, errorText(errno));
        return;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(fd, address.data(), address.length) != 0 && errno != EINPROGRESS) {
        const std::string reason = errorText(errno);
        ::close(fd);
        this->fail(HttpFailure::Stage::Connect, reason);
        return;
    }
    // h2o would read all that arrives while the server sends as fast as it reads.
    this->socket = h2o_evloop_socket_create(this->idleConnections->eventLoop().h2oLoop(), fd,
                                            H2O_SOCKET_FLAG_DONT_READ);
    this->socket->data = this;
    h2o_socket_notify_write(this->socket, &Callbacks::onConnected);
}

std::string HttpCall::buildHead() const
{
    std::string text = this->request.method + " " + this->request.path + " HTTP/1.1\r\n";
    const bool hasHost = std::any_of(this->request.headers.begin(), this->request.headers.end(),
                                     [](const auto &header) { return header.first == "host"; });
    if (!hasHost) {
        text += "host: " + this->server.toString() + "\r\n";
    }
    for (const auto &[name, value] : this->request.headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (this->request.deadline) {
        const TimePoint now = this->idleConnections->eventLoop().now();
        const Milliseconds left = std::max(this->request.deadline->at - now, Milliseconds {});
        text += this->request.deadline->header + ": " + std::to_string(left.count) + "\r\n";
    }
    const bool methodHasBody = this->request.method != "GET" && this->request.method != "HEAD";
    if (methodHasBody || !this->request.body.empty()) {
        text += "content-length: " + std::to_string(this->request.body.size()) + "\r\n";
    }
    text += "\r\n";
    return text;
}

// h2o_socket_connect() does not tell a port without a listener from a server that has accepted the
// connection and reset it at once, so the error is read here.
void HttpCall::onConnected(const char *error)
{
    const int number = takeError(this->socket);
    if (error != nullptr || number != 0) {
        const bool isReset = number == ECONNRESET || number == EPIPE;
        this->fail(isReset ? HttpFailure::Stage::Refused : HttpFailure::Stage::Connect,
                   number != 0 ? errorText(number) : error);
        return;
    }
    this->state = { this->idleConnections->eventLoop().now(), std::nullopt };
    if (this->request.probe) {
        this->probeServer();
        return;
    }
    if (this->request.confirmsConnection) {
        this->confirmConnection();
        return;
    }
    this->write();
}

void HttpCall::probeServer()
{
    ++this->probes;
    this->probe = std::make_unique<ServerProbe>(
            this->socket, *this->request.probe,
            [this](const ProbeResult &result) { this->onProbed(result); });
}

// A server that is full resets the connection instead of responding.
void HttpCall::onProbed(const ProbeResult &result)
{
    this->probe.reset();
    if (const auto *failure = std::get_if<ProbeFailure>(&result)) {
        this->fail(HttpFailure::Stage::Refused, failure->reason);
        return;
    }
    const ProbeResponse &response = std::get<ProbeResponse>(result);
    if (!response.isReusable) {
        this->closeSocket();
        if (this->probes < maxProbes) {
            this->connect();
        } else {
            this->fail(HttpFailure::Stage::Connect, "the server closes each connection");
        }
        return;
    }
    this->state.warmAt = this->idleConnections->eventLoop().now() + response.warmupLeft;
    this->socket->data = this;
    this->hasResponded = true;
    this->write();
}

// Waits until a reset by a server that is full would have arrived.
void HttpCall::confirmConnection()
{
    const Milliseconds roundTrip = this->state.openedAt - this->connectStartedAt;
    h2o_socket_read_start(this->socket, &Callbacks::onEarlyInput);
    this->confirmTimer = this->idleConnections->eventLoop().callAfter(
            roundTrip + acceptDuration, [this] { this->onConfirmed(); });
}

// A busy loop may not have read the reset yet.
void HttpCall::onConfirmed()
{
    this->confirmTimer = EventLoop::Timer();
    if (hasUnexpectedInput(this->socket)) {
        this->fail(HttpFailure::Stage::Refused, "closed by the server");
        return;
    }
    this->write();
}

// The server has closed the connection, or has sent bytes that nothing asked for.
void HttpCall::onEarlyInput(const char *error)
{
    if (error == nullptr && !hasUnexpectedInput(this->socket)) {
        return;
    }
    this->confirmTimer = EventLoop::Timer();
    this->fail(HttpFailure::Stage::Refused, error != nullptr ? error : "unexpected bytes");
}

void HttpCall::write()
{
    if (this->request.deliveryTimeout) {
        setUserTimeout(this->socket, *this->request.deliveryTimeout);
    }
    this->progressAt = this->idleConnections->eventLoop().now();
    const WriteDecision decision = this->decide ? this->decide(this->state) : WriteDecision::Write;
    if (decision != WriteDecision::Write) {
        if (decision == WriteDecision::KeepConnection && this->hasResponded) {
            this->idleConnections->add(this->server,
                                       { std::exchange(this->socket, nullptr), this->state });
        }
        this->fail(HttpFailure::Stage::Cancelled, "withdrawn before the first byte was written");
        return;
    }
    this->sent = true;
    this->head = this->buildHead();
    h2o_iovec_t parts[2] = { h2o_iovec_init(this->head.data(), this->head.size()),
                             h2o_iovec_init(const_cast<char *>(this->request.body.data()),
                                            this->request.body.size()) };
    h2o_socket_read_start(this->socket, &Callbacks::onReadable);
    h2o_socket_write(this->socket, parts, this->request.body.empty() ? 1 : 2,
                     &Callbacks::onWritten);
}

// A write error doesn't end the call: a response that the server sent before the error can still be
// read.
void HttpCall::onWritten(const char *error)
{
    this->fullyWritten = error == nullptr;
}

void HttpCall::onReadable(const char *error)
{
    std::array<char, readBytes> buffer;
    std::size_t total = 0;
    while (error == nullptr && total < maxReadBytes) {
        const ssize_t count
                = recv(h2o_socket_get_fd(this->socket), buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (count <= 0) {
            error = count == 0 ? h2o_socket_error_closed : h2o_socket_error_io;
            break;
        }
        if (this->parse({ buffer.data(), static_cast<std::size_t>(count) })) {
            return;
        }
        total += static_cast<std::size_t>(count);
    }
    if (error != nullptr) {
        this->fail(this->responseBegan ? HttpFailure::Stage::ResponseTruncated
                                       : HttpFailure::Stage::Sent,
                   error);
    }
}

// Parses bytes of the connection. Returns whether the call has ended.
bool HttpCall::parse(std::string_view bytes)
{
    this->progressAt = this->idleConnections->eventLoop().now();
    const ResponseParser::State state = this->parseWithinMemory(bytes);
    if (state == ResponseParser::State::Invalid) {
        this->fail(HttpFailure::Stage::ResponseTruncated, this->parser.reason());
        return true;
    }
    if (this->parser.hasHead() && !this->isMatchingResponse()) {
        this->fail(HttpFailure::Stage::ResponseTruncated, "the answer belongs to another request");
        return true;
    }
    if (state == ResponseParser::State::Complete) {
        this->finishResponse();
        return true;
    }
    this->responseBegan = true;
    return false;
}

// Parses bytes within the memory that is free for incomplete responses.
ResponseParser::State HttpCall::parseWithinMemory(std::string_view bytes)
{
    this->parser.limitHeldBytes(this->memory->maxSizeOf(this->heldBytes));
    const ResponseParser::State state = this->parser.feed(bytes);
    const std::size_t size = this->parser.heldBytes();
    this->memory->resize(std::exchange(this->heldBytes, size), size);
    return state;
}

// Value of the identity header in the response; empty if it has none.
std::string_view HttpCall::repeatedIdentity()
{
    return findHeader(this->parser.response().headers, this->request.identityHeader);
}

// Whether the response may belong to this request. An upstream proves it by repeating the identity
// header of the request.
bool HttpCall::isMatchingResponse()
{
    const std::string_view sentIdentity
            = findHeader(this->request.headers, this->request.identityHeader);
    const std::string_view repeated = this->repeatedIdentity();
    if (repeated.empty() && this->request.requiresIdentity) {
        return sentIdentity.empty() && this->parser.response().status == statusBadRequest;
    }
    return repeated.empty() || repeated == sentIdentity;
}

// Whether the server may send the response once more, and that copy could not be told from the
// response to a later request: a repetition with the same identity, or one without an identity in
// the responses. Only refusals matter, because requests are repeated after them.
bool HttpCall::isAmbiguousRefusal()
{
    const HttpResponse &response = this->parser.response();
    const std::string_view claim = findHeader(response.headers, this->request.refusalHeader);
    const std::string &expected = this->request.refusalValue;
    const bool isRefusal = response.status == statusMisdirected
                           || (expected.empty() ? !claim.empty() : claim == expected);
    return isRefusal && (this->request.requiresIdentity || this->repeatedIdentity().empty());
}

void HttpCall::finishResponse()
{
    // If the response came before the complete request was written, the server still expects the
    // rest of the request on the connection. After a chunked response, a surplus second response
    // could follow unnoticed.
    const bool isReusable = this->fullyWritten && this->parser.isKeepAlive()
                            && !this->parser.isChunked() && !this->parser.hasTrailingBytes()
                            && !this->isAmbiguousRefusal();
    h2o_socket_t *used = std::exchange(this->socket, nullptr);
    h2o_socket_read_stop(used);
    if (isReusable) {
        this->idleConnections->add(this->server, { used, this->state });
    } else {
        h2o_socket_close(used);
    }
    this->finish(std::move(this->parser.response()));
}

void HttpCall::fail(HttpFailure::Stage stage, std::string reason)
{
    this->finish(HttpFailure { stage, std::move(reason), this->reused });
}

void HttpCall::finish(HttpResult result)
{
    this->closeSocket();
    this->releaseMemory();
    if (this->starting) {
        this->deferred = this->idleConnections->eventLoop().callAfter(
                {}, [this, result = std::move(result)]() mutable {
                    std::exchange(this->done, nullptr)(std::move(result));
                });
        return;
    }
    std::exchange(this->done, nullptr)(std::move(result));
}

TimePoint HttpCall::lastProgress() const
{
    if (this->socket != nullptr) {
        const std::uint64_t transferred = bytesTransferred(this->socket);
        if (transferred != this->lastBytesTransferred) {
            this->lastBytesTransferred = transferred;
            this->progressAt = this->idleConnections->eventLoop().now();
        }
    }
    return this->progressAt;
}

} // namespace cassiaroad
