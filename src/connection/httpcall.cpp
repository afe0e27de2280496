#include "connection/httpcall.h"

#include "process/lowercase.h"

#include <algorithm>

#include <linux/tcp.h>

#include <h2o.h>

namespace cassiaroad {

namespace {

constexpr int switchingProtocols = 101;

std::string_view view(const h2o_iovec_t &bytes)
{
    return { bytes.base, bytes.len };
}

// Bytes acknowledged by the peer and received from it; grows with each progress of the connection.
std::uint64_t bytesMoved(h2o_socket_t *socket)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    if (getsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info, &length) != 0) {
        return 0;
    }
    return info.tcpi_bytes_acked + info.tcpi_bytes_received;
}

// How the end of an answer is marked, from its headers.
struct Framing
{
    int contentLengths = 0;
    int transferEncodings = 0;
    bool closes = false;

    bool isChunked() const { return this->transferEncodings > 0; }
    bool isProvable() const { return this->contentLengths + this->transferEncodings == 1; }
    bool isAmbiguous() const { return this->contentLengths + this->transferEncodings > 1; }
};

Framing framingOf(const std::vector<std::pair<std::string, std::string>> &headers)
{
    Framing framing;
    for (const auto &[name, value] : headers) {
        framing.contentLengths += name == "content-length" ? 1 : 0;
        framing.transferEncodings += name == "transfer-encoding" ? 1 : 0;
        framing.closes = framing.closes || (name == "connection" && lowerCase(value) == "close");
    }
    return framing;
}

} // namespace

struct HttpCall::Callbacks
{
    static HttpCall *callOf(h2o_http1client_t *client)
    {
        return static_cast<HttpCall *>(client->data);
    }

    static h2o_http1client_head_cb onConnect(h2o_http1client_t *client, const char *error,
                                             h2o_iovec_t **buffers, std::size_t *count,
                                             int *methodIsHead)
    {
        HttpCall *call = callOf(client);
        call->client = client;
        if (!call->onConnected(error)) {
            return nullptr;
        }
        static thread_local h2o_iovec_t parts[2];
        parts[0] = h2o_iovec_init(call->head.data(), call->head.size());
        parts[1] = h2o_iovec_init(call->request.body.data(), call->request.body.size());
        *buffers = parts;
        *count = call->request.body.empty() ? 1 : 2;
        *methodIsHead = call->request.method == "HEAD" ? 1 : 0;
        return &Callbacks::onHead;
    }

    static h2o_http1client_body_cb onHead(h2o_http1client_t *client, const char *error,
                                          int minorVersion, int status, h2o_iovec_t /*reason*/,
                                          h2o_header_t *headers, std::size_t count, int headLength)
    {
        const bool ended = error == h2o_http1client_error_is_eos;
        if (error != nullptr && !ended) {
            callOf(client)->onHeadError(error);
            return nullptr;
        }
        HttpCall *call = callOf(client);
        call->keepConnection = minorVersion > 0;
        return call->onHead(ended, status, headers, count, static_cast<std::size_t>(headLength))
                       ? &Callbacks::onBody
                       : nullptr;
    }

    static int onBody(h2o_http1client_t *client, const char *error)
    {
        const bool ended = error == h2o_http1client_error_is_eos;
        return callOf(client)->onBody(ended ? nullptr : error, ended) ? 0 : -1;
    }
};

HttpCall::HttpCall(std::shared_ptr<ConnectionStore> store, HostAddress server, HttpRequest request,
                   std::size_t maxAnswerBytes)
    : store(std::move(store))
    , server(std::move(server))
    , request(std::move(request))
    , maxAnswerBytes(maxAnswerBytes)
    , progress(this->store->eventLoop().now())
{ }

HttpCall::~HttpCall()
{
    if (this->client != nullptr) {
        h2o_http1client_cancel(this->client);
    }
}

void HttpCall::start(std::function<void(HttpResult)> done, std::function<bool()> mayWrite,
                     Reuse reuse)
{
    this->done = std::move(done);
    this->mayWrite = std::move(mayWrite);
    this->head = this->buildHead();
    this->openedAt = this->store->eventLoop().now();
    h2o_socketpool_t *pool = reuse == Reuse::Allowed
                                     ? this->store->offerConnection(this->server, this->openedAt)
                                     : this->store->emptyPool(this->server);
    this->starting = true;
    h2o_http1client_t *created = nullptr;
    h2o_http1client_connect_with_pool(&created, this, this->store->clientContext(), pool,
                                      &Callbacks::onConnect);
    this->starting = false;
    // A failure within the call above has already freed the client.
    this->client = this->finished ? nullptr : created;
}

std::string HttpCall::buildHead() const
{
    std::string text = this->request.method + " " + this->request.path + " HTTP/1.1\r\n";
    const bool hasHost
            = std::any_of(this->request.headers.begin(), this->request.headers.end(),
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

bool HttpCall::onConnected(const char *error)
{
    if (error != nullptr) {
        this->fail(HttpFailure::Stage::Connect, error);
        return false;
    }
    // h2o hands over a kept connection at once; a new one takes at least one turn of the loop.
    this->reused = this->starting;
    if (!this->reused) {
        this->openedAt = this->store->eventLoop().now();
    }
    this->progress = this->store->eventLoop().now();
    if (this->mayWrite && !this->mayWrite()) {
        this->fail(HttpFailure::Stage::Withdrawn, "withdrawn before the first byte was written");
        return false;
    }
    this->sent = true;
    return true;
}

void HttpCall::onHeadError(const char *error)
{
    const bool began = this->client->sock != nullptr && this->client->sock->input->size > 0;
    this->fail(began ? HttpFailure::Stage::AnswerCut : HttpFailure::Stage::Sent, error);
}

bool HttpCall::onHead(bool ended, int status, h2o_header_t *headers, std::size_t count,
                      std::size_t headLength)
{
    this->progress = this->store->eventLoop().now();
    this->answer.status = status;
    this->answer.headers.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        this->answer.headers.emplace_back(lowerCase(view(*headers[i].name)),
                                          std::string(view(headers[i].value)));
    }
    const Framing framing = framingOf(this->answer.headers);
    // h2o does not tell whether bytes follow the last chunk, so such a connection is not used
    // again.
    this->chunked = framing.isChunked();
    this->keepConnection = this->keepConnection && !framing.closes && !this->chunked;
    if (status == switchingProtocols || framing.isAmbiguous()
        || (!ended && !framing.isProvable())) {
        this->fail(HttpFailure::Stage::AnswerCut, "the end of the answer cannot be determined");
        return false;
    }
    if (!this->isOwnAnswer()) {
        this->fail(HttpFailure::Stage::AnswerCut, "the answer belongs to another request");
        return false;
    }
    if (ended) {
        this->finishAnswer(this->client->sock->input->size > headLength);
    }
    return true;
}

// An upstream that repeats the identity header proves which request it answers.
bool HttpCall::isOwnAnswer() const
{
    const auto find = [this](const auto &headers) {
        const auto found = std::find_if(headers.begin(), headers.end(), [this](const auto &header) {
            return header.first == this->request.identityHeader;
        });
        return found == headers.end() ? std::string_view() : std::string_view(found->second);
    };
    const std::string_view repeated = find(this->answer.headers);
    if (repeated.empty()) {
        const bool isSuccess = this->answer.status >= 200 && this->answer.status < 300;
        return !this->request.requiresIdentity || !isSuccess;
    }
    return repeated == find(this->request.headers);
}

bool HttpCall::onBody(const char *error, bool ended)
{
    h2o_socket_t *socket = this->client->sock;
    const std::size_t size = socket->input->size;
    // h2o takes a connection that closes between two chunks for the end of the answer. The last
    // chunk leaves fewer bytes in the buffer than were read, because its marks are removed.
    if (error != nullptr || (ended && this->chunked && size >= socket->bytes_read)) {
        this->fail(HttpFailure::Stage::AnswerCut, error != nullptr ? error : "last chunk missing");
        return false;
    }
    this->progress = this->store->eventLoop().now();
    if (this->answer.body.size() + size > this->maxAnswerBytes) {
        this->fail(HttpFailure::Stage::AnswerCut, "the answer is too large");
        return false;
    }
    this->answer.body.append(socket->input->bytes, size);
    h2o_buffer_consume(&socket->input, size);
    if (ended) {
        // h2o has cut bytes after the body off the buffer.
        this->finishAnswer(socket->bytes_read > size);
    }
    return true;
}

void HttpCall::finishAnswer(bool hasTrailingBytes)
{
    h2o_socket_t *socket = h2o_http1client_steal_socket(this->client);
    h2o_buffer_consume(&socket->input, socket->input->size);
    if (this->keepConnection && !hasTrailingBytes) {
        this->store->keep(this->server, socket, this->openedAt);
    } else {
        h2o_socket_close(socket);
    }
    this->finish(std::move(this->answer));
}

void HttpCall::fail(HttpFailure::Stage stage, std::string reason)
{
    this->finish(HttpFailure { stage, std::move(reason), this->reused });
}

void HttpCall::finish(HttpResult result)
{
    this->finished = true;
    this->client = nullptr;
    if (this->starting) {
        this->deferred = this->store->eventLoop().callAfter(
                {}, [this, result = std::move(result)]() mutable {
                    std::exchange(this->done, nullptr)(std::move(result));
                });
        return;
    }
    std::exchange(this->done, nullptr)(std::move(result));
}

TimePoint HttpCall::lastProgress() const
{
    if (this->client != nullptr && this->client->sock != nullptr) {
        const std::uint64_t moved = bytesMoved(this->client->sock);
        if (moved != this->bytesSeen) {
            this->bytesSeen = moved;
            this->progress = this->store->eventLoop().now();
        }
    }
    return this->progress;
}

} // namespace cassiaroad
