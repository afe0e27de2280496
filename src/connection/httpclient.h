#pragma once

#include "process/eventloop.h"
#include "process/settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Bytes of a body that copies share. Immutable; thread-safe. */
class HttpBody
{
public:
    HttpBody() = default;
    HttpBody(std::string text)
        : owner(std::make_shared<const std::string>(std::move(text)))
        , bytes(*std::static_pointer_cast<const std::string>(this->owner))
    { }
    HttpBody(const char *text)
        : HttpBody(std::string(text))
    { }
    /** Bytes that belong to @p owner, which is kept alive. */
    HttpBody(std::shared_ptr<const void> owner, std::string_view bytes)
        : owner(std::move(owner))
        , bytes(bytes)
    { }

    const char *data() const { return this->bytes.data(); }
    std::size_t size() const { return this->bytes.size(); }
    bool empty() const { return this->bytes.empty(); }

    bool operator==(const HttpBody &other) const { return this->bytes == other.bytes; }

private:
    std::shared_ptr<const void> owner;
    std::string_view bytes;
};

/** End of the time in which a response is of use. */
struct RequestDeadline
{
    std::string header; // for the milliseconds that are left when the first byte is written
    TimePoint at;

    bool operator==(const RequestDeadline &) const = default;
};

/**
 * GET request with which a server is asked for how long it is still cold after its start. The
 * response belongs to the process at the other end of its connection, like all that follow on it.
 */
struct ConnectionProbe
{
    std::string path;
    std::string host; // value of the Host header
    std::string warmupHeader; // of the response, in lower case: milliseconds until it is warm

    bool operator==(const ConnectionProbe &) const = default;
};

/** An HTTP request to send. */
struct HttpRequest
{
    std::string method;
    std::string path;
    // Must not contain Content-Length. If Host is absent, the address of the server is sent.
    std::vector<std::pair<std::string, std::string>> headers;
    HttpBody body;
    // Name of the header that the server repeats in its response, in lower case. A response with
    // another value fails the call.
    std::string identityHeader = "cassiaroad-request";
    // The request may be sent several times with the same identity, and a response without it fails
    // the call, except 400 to a request without an identity.
    bool requiresIdentity = false;
    // Header, in lower case, and value with which the server says that it did not run the request;
    // an empty value stands for any. The connection of such a refusal, or of status 421, is not
    // used again if a second copy of the refusal could be taken for the response to a later
    // request.
    std::string refusalHeader = "cassiaroad-outcome";
    std::string refusalValue = "not-run";
    // If set, the request must not arrive later than this after it was written: the kernel gives
    // up the connection when bytes remain unacknowledged for so long, and a call that is cancelled
    // resets its connection.
    std::optional<Milliseconds> deliveryTimeout;
    // Waits one round trip on a new connection before the request is written. A server that has
    // too many connections accepts the new one and then resets it; within this time the reset is
    // seen while the request is certainly not sent.
    bool confirmsConnection = false;
    // If set, the request tells in a header how long its client still waits.
    std::optional<RequestDeadline> deadline;
    // If set, the server is asked on a new connection before the request is written. Its response
    // also shows that it has accepted the connection.
    std::optional<ConnectionProbe> probe;

    bool operator==(const HttpRequest &) const = default;
};

/** A complete HTTP response. */
struct HttpResponse
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers; // names in lower case
    std::string body;

    bool operator==(const HttpResponse &) const = default;
};

/** What is known of a connection before a request is written on it. */
struct ConnectionState
{
    TimePoint openedAt;
    // When the server at its other end is no longer cold, as its response to a ConnectionProbe has
    // told; nothing: it was not asked.
    std::optional<TimePoint> warmAt;

    bool operator==(const ConnectionState &) const = default;
};

/** What happens to a request whose first byte is about to be written. */
enum class WriteDecision {
    Write,
    KeepConnection, // not written; others may use the connection, if it has carried a response
    CloseConnection, // not written
};

/** Why a request got no complete response. */
struct HttpFailure
{
    enum class Stage {
        Connect, // the connection could not be opened; no byte of the request was written
        Refused, // the server closed the new connection; no byte of the request was written
        Cancelled, // it was decided not to write; no byte of the request was written
        Sent, // bytes may have reached the server; no response arrived
        ResponseTruncated, // the response was incomplete, invalid, too large or to another request
    };

    Stage stage = Stage::Connect;
    std::string reason;
    bool reusedConnection = false; // the connection had carried an earlier request

    bool operator==(const HttpFailure &) const = default;
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

/** HTTP/1.1 client on h2o with a pool of idle connections per server address. Loop thread only. */
class HttpClient
{
public:
    /** A request in progress. Destroying it cancels the request and closes its connection. */
    class Call
    {
    public:
        virtual ~Call() = default;
        /** Time of the last byte read or written on the connection of this call. */
        virtual TimePoint lastProgress() const = 0;
        /** Whether a byte of the request may have been written. */
        virtual bool isSent() const = 0;
        /** Time at which the connection of this call was opened. */
        virtual TimePoint connectionOpenedAt() const = 0;
    };

    /**
     * Bytes that all incomplete responses may hold if nothing else is set. While a response grows,
     * its buffer takes up to three times its size, and a gateway has 160 MB.
     */
    static constexpr std::size_t maxBufferedBytes = std::size_t(32) * 1024 * 1024;

    /** Decides whether the first byte of a request is written on a connection now. */
    using DecideWrite = std::function<WriteDecision(const ConnectionState &)>;

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends @p request to @p server; @p done is called once, unless the call is destroyed before.
     * It is never called before send() returns. @p decide, if given, is called in the iteration of
     * the event loop in which the first byte is about to be written; unless it decides to write,
     * the call fails at stage Cancelled. Responses whose body exceeds @p maxResponseBytes, or the
     * memory that is free for incomplete responses, fail with ResponseTruncated, as do responses
     * whose end is unknown (neither Content-Length nor chunked). There is no timeout: the owner of
     * the call sets one and destroys the call.
     */
    [[nodiscard]] std::unique_ptr<Call> send(const HostAddress &server, HttpRequest request,
                                             std::size_t maxResponseBytes,
                                             std::function<void(HttpResult)> done,
                                             DecideWrite decide = nullptr);

    /** Like send(), but always opens a new connection, to check that the server responds. */
    [[nodiscard]] std::unique_ptr<Call> sendOnNewConnection(const HostAddress &server,
                                                            HttpRequest request,
                                                            std::size_t maxResponseBytes,
                                                            std::function<void(HttpResult)> done);

    /** Sets the bound of the bytes of all incomplete responses. */
    void setMaxBufferedBytes(std::size_t size);

    /** Closes idle connections to @p server that were opened before @p openedBefore. */
    void closeIdle(const HostAddress &server, TimePoint openedBefore);

    /** Closes idle connections to all servers that have been unused for @p idle or longer. */
    void closeIdleLongerThan(Milliseconds idle);

    /** Closes the least recently used idle connections to @p server, until @p maxCount remain. */
    void trimIdle(const HostAddress &server, std::size_t maxCount);

    /** Bytes of the heads and bodies of incomplete responses that all calls hold. */
    std::size_t bufferedBytes() const;

    /** Number of idle connections to @p server. */
    std::size_t idleCount(const HostAddress &server) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace cassiaroad
