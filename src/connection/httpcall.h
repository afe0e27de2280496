#pragma once

#include "connection/connectionstore.h"
#include "connection/httpclient.h"

typedef struct st_h2o_http1client_t h2o_http1client_t;
struct st_h2o_header_t;

namespace cassiaroad {

/** One request on h2o's client. Loop thread only. */
class HttpCall : public HttpClient::Call
{
public:
    enum class Reuse { Allowed, Never };

    HttpCall(std::shared_ptr<ConnectionStore> store, HostAddress server, HttpRequest request,
             std::size_t maxAnswerBytes);
    ~HttpCall() override;
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /** Starts the call. Precondition: not started. */
    void start(std::function<void(HttpResult)> done, std::function<bool()> mayWrite, Reuse reuse);

    TimePoint lastProgress() const override;
    bool isSent() const override { return this->sent; }
    TimePoint connectionOpenedAt() const override { return this->openedAt; }

private:
    struct Callbacks;

    bool onConnected(const char *error);
    void onHeadError(const char *error);
    bool onHead(bool ended, int status, st_h2o_header_t *headers, std::size_t count,
                std::size_t headLength);
    bool isOwnAnswer() const;
    bool onBody(const char *error, bool ended);
    void finishAnswer(bool hasTrailingBytes);
    void fail(HttpFailure::Stage stage, std::string reason);
    void finish(HttpResult result);
    std::string buildHead() const;

    std::shared_ptr<ConnectionStore> store;
    HostAddress server;
    HttpRequest request;
    std::size_t maxAnswerBytes;
    std::function<void(HttpResult)> done;
    std::function<bool()> mayWrite;
    std::string head;
    HttpAnswer answer;
    h2o_http1client_t *client = nullptr;
    EventLoop::Timer deferred;
    TimePoint openedAt;
    mutable TimePoint progress;
    mutable std::uint64_t bytesSeen = 0;
    bool starting = false;
    bool reused = false;
    bool sent = false;
    bool finished = false;
    bool chunked = false;
    bool keepConnection = true;
};

} // namespace cassiaroad
