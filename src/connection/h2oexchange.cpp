#include "connection/h2oexchange.h"

#include "connection/clientroom.h"
#include "connection/pipeliner.h"
#include "connection/requestreader.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <h2o.h>

namespace cassiaroad {

namespace {

constexpr int http2Version = 0x200;
constexpr int badGateway = 502;
constexpr int serverError = 500; // and above

// Response headers that are not passed to h2o: they apply to a single connection, or h2o writes
// them itself.
constexpr std::array<std::string_view, 11> connectionHeaders {
    "connection", "content-length",   "transfer-encoding", "keep-alive",
    "date",       "server",           "upgrade",           "te",
    "trailer",    "proxy-connection", "http2-settings",
};

struct ReasonPhrase
{
    int status;
    const char *text;
};

constexpr std::array<ReasonPhrase, 24> reasonPhrases { {
        { 200, "OK" },
        { 201, "Created" },
        { 202, "Accepted" },
        { 204, "No Content" },
        { 206, "Partial Content" },
        { 301, "Moved Permanently" },
        { 302, "Found" },
        { 304, "Not Modified" },
        { 307, "Temporary Redirect" },
        { 400, "Bad Request" },
        { 401, "Unauthorized" },
        { 403, "Forbidden" },
        { 404, "Not Found" },
        { 405, "Method Not Allowed" },
        { 409, "Conflict" },
        { 412, "Precondition Failed" },
        { 413, "Content Too Large" },
        { 422, "Unprocessable Content" },
        { 431, "Request Header Fields Too Large" },
        { 500, "Internal Server Error" },
        { 502, "Bad Gateway" },
        { 503, "Service Unavailable" },
        { 504, "Gateway Timeout" },
        { 508, "Loop Detected" },
} };

const char *reasonPhrase(int status)
{
    const auto *found
            = std::find_if(reasonPhrases.begin(), reasonPhrases.end(),
                           [&](const ReasonPhrase &reason) { return reason.status == status; });
    return found == reasonPhrases.end() ? "" : found->text;
}

std::string_view view(const h2o_iovec_t &bytes)
{
    return { bytes.base, bytes.len };
}

bool hasBody(int status, std::string_view method)
{
    return status != 204 && status != 304 && method != "HEAD";
}

// Response in the request's memory pool, so that it lives until h2o has written it.
struct PendingResponse
{
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::size_t heldBytes; // of the body, as counted
    std::shared_ptr<ServerConnection> connection; // for which the body counts
};

void destroyPendingResponse(void *memory)
{
    auto *response = static_cast<PendingResponse *>(memory);
    response->connection->heldResponseBytes -= response->heldBytes;
    response->connection->reader->releaseResponse(response->heldBytes);
    response->~PendingResponse();
}

// Without a body (HEAD, 204, 304), the Content-Length of the response's own headers is sent.
void setContentLength(h2o_req_t *request, const PendingResponse &response, bool withBody)
{
    if (withBody) {
        request->res.content_length = response.body.size();
        return;
    }
    for (const auto &[name, value] : response.headers) {
        std::size_t length = 0;
        if (name == "content-length"
            && std::from_chars(value.data(), value.data() + value.size(), length).ec
                       == std::errc()) {
            request->res.content_length = length;
        }
    }
}

} // namespace

bool H2oExchange::answering = false;

H2oExchange::H2oExchange(st_h2o_req_t *request, std::shared_ptr<ServerConnection> connection,
                         TimePoint arrivedAt)
    : request(request)
    , connection(std::move(connection))
    , headArrivedAt(arrivedAt)
{
    ++this->connection->openExchanges;
}

std::string_view H2oExchange::method() const
{
    return this->request != nullptr ? view(this->request->input.method) : std::string_view();
}

std::string_view H2oExchange::path() const
{
    return this->request != nullptr ? view(this->request->input.path) : std::string_view();
}

std::string_view H2oExchange::header(std::string_view lowerCaseName) const
{
    if (this->request == nullptr) {
        return {};
    }
    if (lowerCaseName == "host") {
        return view(this->request->input.authority);
    }
    const ssize_t index = h2o_find_header_by_str(&this->request->headers, lowerCaseName.data(),
                                                 lowerCaseName.size(), -1);
    return index >= 0 ? view(this->request->headers.entries[index].value) : std::string_view();
}

std::vector<std::pair<std::string_view, std::string_view>> H2oExchange::headers() const
{
    std::vector<std::pair<std::string_view, std::string_view>> result;
    if (this->request == nullptr) {
        return result;
    }
    result.reserve(this->request->headers.size);
    for (std::size_t i = 0; i < this->request->headers.size; ++i) {
        const h2o_header_t &header = this->request->headers.entries[i];
        result.emplace_back(view(*header.name), view(header.value));
    }
    return result;
}

std::string_view H2oExchange::body() const
{
    return this->request != nullptr ? view(this->request->entity) : std::string_view();
}

bool H2oExchange::reserveResponse()
{
    if (this->request == nullptr || this->answered) {
        return true;
    }
    const std::optional<std::size_t> size = this->connection->room->reserve(
            *this->connection, this->header("host"), this->path());
    this->expectedBytes = size.value_or(0);
    return size.has_value();
}

void H2oExchange::releaseReservation()
{
    this->connection->room->release(*this->connection, std::exchange(this->expectedBytes, 0));
}

void H2oExchange::answer(int status, std::vector<std::pair<std::string, std::string>> headers,
                         std::string body)
{
    if (this->request == nullptr || this->answered) {
        return;
    }
    this->stopWatching();
    this->clientGoneCallback = nullptr;
    this->releaseReservation();
    if (status < serverError) {
        this->connection->room->recordSize(this->header("host"), this->path(), body.size());
    }
    if (!this->connection->room->hold(*this->connection, body.size())) {
        // The outcome of the request is lost with the response.
        this->send(badGateway, {}, {});
        return;
    }
    this->send(status, std::move(headers), std::move(body));
}

void H2oExchange::send(int status, std::vector<std::pair<std::string, std::string>> headers,
                       std::string body)
{
    h2o_req_t *target = this->request;
    const std::size_t heldBytes = body.size();
    this->answered = true;
    ++this->connection->unwrittenResponses;
    void *memory
            = h2o_mem_alloc_shared(&target->pool, sizeof(PendingResponse), &destroyPendingResponse);
    auto *stored = new (memory)
            PendingResponse { std::move(headers), std::move(body), heldBytes, this->connection };
    const bool withBody = hasBody(status, this->method());
    target->res.status = status;
    target->res.reason = reasonPhrase(status);
    setContentLength(target, *stored, withBody);
    for (const auto &[name, value] : stored->headers) {
        if (std::find(connectionHeaders.begin(), connectionHeaders.end(), name)
            == connectionHeaders.end()) {
            h2o_add_header_by_str(&target->pool, &target->res.headers, name.data(), name.size(), 1,
                                  nullptr, value.data(), value.size());
        }
    }
    static h2o_generator_t generator { nullptr, nullptr };
    h2o_iovec_t bytes = h2o_iovec_init(stored->body.data(), stored->body.size());
    answering = true;
    h2o_start_response(target, &generator);
    answering = false;
    h2o_send(target, &bytes, withBody && bytes.len > 0 ? 1 : 0, H2O_SEND_STATE_FINAL);
}

void H2oExchange::onClientGone(std::function<void()> callback)
{
    if (this->request == nullptr || this->answered) {
        return;
    }
    this->clientGoneCallback = std::move(callback);
    this->startWatching();
}

void H2oExchange::watch()
{
    if (this->request != nullptr && !this->answered) {
        this->startWatching();
    }
}

// h2o doesn't read from an HTTP/1.1 connection while its request is handled, so it wouldn't notice
// that the client has closed the connection. This watches the socket for readiness without reading
// from it (RequestReader reads, not h2o), because the read buffer still contains the request. If
// the client sends more data, the socket stays readable; the server's sweep then polls for the
// close instead.
void H2oExchange::startWatching()
{
    if (this->request->version >= http2Version || this->connection->watchedExchange == this) {
        return;
    }
    this->connection->watchedExchange = this;
    this->connection->needsClosePolling = false;
    h2o_socket_read_start(this->connection->socket, [](h2o_socket_t *socket, const char *error) {
        auto *connection = static_cast<ServerConnection *>(socket->on_close.data);
        char byte = 0;
        const ssize_t count = recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (error == nullptr && count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (error != nullptr || count <= 0) {
            connection->watchedExchange->abandon();
            return;
        }
        if (connection->pipeliner->onBytes(*connection)) {
            return;
        }
        h2o_socket_read_stop(socket);
        connection->needsClosePolling = true;
    });
}

void H2oExchange::stopWatching()
{
    if (this->connection->watchedExchange != this) {
        return;
    }
    this->connection->watchedExchange = nullptr;
    this->connection->needsClosePolling = false;
    wakeBeyond(*this->connection, 0);
    h2o_socket_read_stop(this->connection->socket);
}

void H2oExchange::abandon()
{
    this->stopWatching();
    this->clientGone = true;
    // h2o frees the request only after a response; the one sent here is lost in the closed socket.
    shutdown(h2o_socket_get_fd(this->connection->socket), SHUT_RDWR);
    this->request->http1_is_persistent = 0;
    const std::function<void()> callback = std::exchange(this->clientGoneCallback, nullptr);
    const std::shared_ptr<ServerConnection> closed = this->connection;
    this->send(499, {}, {});
    if (callback) {
        callback();
    }
    closed->pipeliner->cancel(*closed);
}

void H2oExchange::attach(const std::shared_ptr<H2oExchange> &exchange)
{
    using SharedExchange = std::shared_ptr<H2oExchange>;
    void *memory = h2o_mem_alloc_shared(&exchange->request->pool, sizeof(SharedExchange),
                                        [](void *pointer) {
                                            auto *attached = static_cast<SharedExchange *>(pointer);
                                            const SharedExchange keepAlive = std::move(*attached);
                                            attached->~SharedExchange();
                                            keepAlive->detach();
                                        });
    new (memory) SharedExchange(exchange);
}

void H2oExchange::detach()
{
    if (this->connection->watchedExchange == this) {
        this->connection->watchedExchange = nullptr;
        wakeBeyond(*this->connection, 0);
    }
    this->releaseReservation();
    --this->connection->openExchanges;
    this->connection->idleSince = Clock::now();
    this->connection->receiving = false;
    if (this->connection->openExchanges == 0) {
        this->connection->reader->onRequestEnded(*this->connection);
    }
    this->request = nullptr;
    if (this->answered) {
        --this->connection->unwrittenResponses;
        return;
    }
    this->clientGone = true;
    if (const std::function<void()> callback = std::exchange(this->clientGoneCallback, nullptr)) {
        callback();
    }
}

} // namespace cassiaroad
