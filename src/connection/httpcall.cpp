#include "connection/httpcall.h"

#include "connection/socketaddress.h"

#include <algorithm>

#include <linux/tcp.h>

#include <h2o.h>

namespace cassiaroad {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusMisdirected = 421;

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
    if (this->socket != nullptr) {
        h2o_socket_close(std::exchange(this->socket, nullptr));
    }
}

void HttpCall::start(std::function<void(HttpResult)> done, std::function<bool()> canWrite,
                     Reuse reuse)
{
    this->done = std::move(done);
    this->canWrite = std::move(canWrite);
    this->head = this->buildHead();
    this->openedAt = this->idleConnections->eventLoop().now();
    this->starting = true;
    if (reuse == Reuse::Allowed) {
        this->socket = this->idleConnections->take(this->server, this->openedAt);
    }
    if (this->socket != nullptr) {
        this->reused = true;
        this->socket->data = this;
        this->write();
    } else {
        this->connect();
    }
    this->starting = false;
}

void HttpCall::connect()
{
    SocketAddress address = toSocketAddress(this->server);
    this->socket = h2o_socket_connect(this->idleConnections->eventLoop().h2oLoop(), address.data(),
                                      address.length, &Callbacks::onConnected);
    if (this->socket == nullptr) {
        this->fail(HttpFailure::Stage::Connect, "connection failed");
        return;
    }
    this->socket->data = this;
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
    const bool methodHasBody = this->request.method != "GET" && this->request.method != "HEAD";
    if (methodHasBody || !this->request.body.empty()) {
        text += "content-length: " + std::to_string(this->request.body.size()) + "\r\n";
    }
    text += "\r\n";
    return text;
}

void HttpCall::onConnected(const char *error)
{
    if (error != nullptr) {
        this->fail(HttpFailure::Stage::Connect, error);
        return;
    }
    this->openedAt = this->idleConnections->eventLoop().now();
    this->write();
}

void HttpCall::write()
{
    this->progressAt = this->idleConnections->eventLoop().now();
    if (this->canWrite && !this->canWrite()) {
        this->fail(HttpFailure::Stage::Cancelled, "withdrawn before the first byte was written");
        return;
    }
    this->sent = true;
    h2o_iovec_t parts[2] = { h2o_iovec_init(this->head.data(), this->head.size()),
                             h2o_iovec_init(this->request.body.data(), this->request.body.size()) };
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
    if (this->socket->input->size > 0) {
        this->progressAt = this->idleConnections->eventLoop().now();
        const ResponseParser::State state = this->parseInput();
        if (state == ResponseParser::State::Invalid) {
            this->fail(HttpFailure::Stage::ResponseTruncated, this->parser.reason());
            return;
        }
        if (this->parser.hasHead() && !this->isMatchingResponse()) {
            this->fail(HttpFailure::Stage::ResponseTruncated,
                       "the answer belongs to another request");
            return;
        }
        if (state == ResponseParser::State::Complete) {
            this->finishResponse();
            return;
        }
        this->responseBegan = true;
    }
    if (error != nullptr) {
        this->fail(this->responseBegan ? HttpFailure::Stage::ResponseTruncated
                                       : HttpFailure::Stage::Sent,
                   error);
    }
}

// Parses what has arrived, within the memory that is free for incomplete responses.
ResponseParser::State HttpCall::parseInput()
{
    h2o_buffer_t *&input = this->socket->input;
    this->parser.limitBody(this->memory->maxSizeOf(this->heldBytes));
    const ResponseParser::State state = this->parser.feed({ input->bytes, input->size });
    h2o_buffer_consume(&input, input->size);
    const std::size_t size = this->parser.response().body.size();
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
        this->idleConnections->add(this->server, used, this->openedAt);
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
