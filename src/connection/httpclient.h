#pragma once

#include "process/eventloop.h"
#include "process/settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cassiaroad {

/** A request to send. */
struct HttpRequest
{
    std::string method;
    std::string path;
    // Without Content-Length. Without Host, the address of the server is sent.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    // Header that the server repeats in its answer; an answer with another value is discarded.
    std::string identityHeader = "cassiaroad-request";
    bool requiresIdentity = false; // also discard a success (2xx) without that header

    bool operator==(const HttpRequest &) const = default;
};

/** A whole answer. */
struct HttpResponse
{
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers; // names in lower case
    std::string body;

    bool operator==(const HttpResponse &) const = default;
};

/** How an exchange failed. */
struct HttpFailure
{
    enum class Stage {
        Connect, // the connection could not be opened; no byte of the request was written
        Cancelled, // canWrite refused; no byte of the request was written
        Sent, // bytes may have reached the server; no answer
        ResponseTruncated, // the answer began and was not whole
    };

    Stage stage = Stage::Connect;
    std::string reason;
    bool reusedConnection = false; // the connection had carried an earlier request

    bool operator==(const HttpFailure &) const = default;
};

using HttpResult = std::variant<HttpResponse, HttpFailure>;

/** HTTP/1.1 client on h2o with one connection pool per server address. Loop thread only. */
class HttpClient
{
public:
    /** A request in flight. Destroying it cancels the request and closes its connection. */
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

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /**
     * Sends @p request to @p server; @p done is called once, unless the call is destroyed before.
     * It is never called before send() returns. @p canWrite, if given, is asked in the loop turn in
     * which the first byte is about to be written; false fails the call at stage Cancelled. Answers
     * above @p maxResponseBytes fail with ResponseTruncated, as do answers whose end cannot be
     * proven (neither Content-Length nor chunked). There is no time limit: the owner of the call
     * sets one.
     */
    [[nodiscard]] std::unique_ptr<Call> send(const HostAddress &server, HttpRequest request,
                                             std::size_t maxResponseBytes,
                                             std::function<void(HttpResult)> done,
                                             std::function<bool()> canWrite = nullptr);

    /** As send(), but opens a connection of its own, to find out whether the server answers. */
    [[nodiscard]] std::unique_ptr<Call> sendOnNewConnection(const HostAddress &server,
                                                            HttpRequest request,
                                                            std::size_t maxResponseBytes,
                                                            std::function<void(HttpResult)> done);

    /** Closes idle connections to @p server that were opened before @p openedBefore. */
    void closeIdle(const HostAddress &server, TimePoint openedBefore);

    /** Closes idle connections that have carried nothing for @p idle. */
    void closeIdleLongerThan(Milliseconds idle);

    /** Closes the idle connections to @p server used least recently, until @p most are left. */
    void trimIdle(const HostAddress &server, std::size_t most);

    /** Number of idle connections to @p server. */
    std::size_t idleCount(const HostAddress &server) const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace cassiaroad
