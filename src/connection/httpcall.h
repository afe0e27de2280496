#pragma once

#include "connection/answerparser.h"
#include "connection/connectionstore.h"

namespace cassiaroad {

/** One request on a socket of h2o's loop. Loop thread only. */
class HttpCall : public HttpClient::Call
{
public:
    enum class Reuse { Allowed, Never };

    HttpCall(std::shared_ptr<ConnectionStore> store, HostAddress server, HttpRequest request,
             std::size_t maxResponseBytes);
    ~HttpCall() override;
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /** Starts the call. Precondition: not started. */
    void start(std::function<void(HttpResult)> done, std::function<bool()> canWrite, Reuse reuse);

    TimePoint lastProgress() const override;
    bool isSent() const override { return this->sent; }
    TimePoint connectionOpenedAt() const override { return this->openedAt; }

private:
    struct Callbacks;

    void connect();
    void onConnected(const char *error);
    void write();
    void onWritten(const char *error);
    void onReadable(const char *error);
    bool isOwnAnswer();
    void finishAnswer();
    void fail(HttpFailure::Stage stage, std::string reason);
    void finish(HttpResult result);
    void closeSocket();
    std::string buildHead() const;

    std::shared_ptr<ConnectionStore> store;
    HostAddress server;
    HttpRequest request;
    AnswerParser parser;
    std::function<void(HttpResult)> done;
    std::function<bool()> canWrite;
    std::string head;
    h2o_socket_t *socket = nullptr;
    EventLoop::Timer deferred;
    TimePoint openedAt;
    mutable TimePoint progress;
    mutable std::uint64_t bytesSeen = 0;
    bool starting = false;
    bool reused = false;
    bool sent = false;
    bool written = false; // the whole request
    bool began = false; // a part of the answer has arrived
};

} // namespace cassiaroad
