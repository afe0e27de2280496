#pragma once

#include "connection/idleconnectionpool.h"
#include "connection/responsememory.h"
#include "connection/responseparser.h"
#include "connection/serverprobe.h"

#include <string_view>

namespace cassiaroad {

/** One HTTP/1.1 request and its response on a socket of h2o's loop. Loop thread only. */
class HttpCall : public HttpClient::Call
{
public:
    /** Whether the call may use an idle connection. */
    enum class Reuse { Allowed, Never };

    HttpCall(std::shared_ptr<IdleConnectionPool> idleConnections, HostAddress server,
             std::shared_ptr<ResponseMemory> memory, HttpRequest request,
             std::size_t maxResponseBytes);
    ~HttpCall() override;
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /** Starts the call; see HttpClient::send() for the callbacks. Precondition: not started. */
    void start(std::function<void(HttpResult)> done, HttpClient::DecideWrite decide, Reuse reuse);

    TimePoint lastProgress() const override;
    bool isSent() const override { return this->sent; }
    TimePoint connectionOpenedAt() const override { return this->state.openedAt; }

private:
    struct Callbacks;

    void connect();
    void onConnected(const char *error);
    void probeServer();
    void onProbed(const ProbeResult &result);
    void confirmConnection();
    void onConfirmed();
    void onEarlyInput(const char *error);
    void write();
    void onWritten(const char *error);
    void onReadable(const char *error);
    bool parse(std::string_view bytes);
    ResponseParser::State parseWithinMemory(std::string_view bytes);
    void releaseMemory();
    std::string_view repeatedIdentity();
    bool isMatchingResponse();
    bool isAmbiguousRefusal();
    void finishResponse();
    void fail(HttpFailure::Stage stage, std::string reason);
    void finish(HttpResult result);
    void closeSocket();
    std::string buildHead() const;

    std::shared_ptr<IdleConnectionPool> idleConnections;
    HostAddress server;
    std::shared_ptr<ResponseMemory> memory;
    std::size_t heldBytes = 0; // of the response, as recorded in `memory`
    HttpRequest request;
    ResponseParser parser;
    std::function<void(HttpResult)> done;
    HttpClient::DecideWrite decide;
    std::string head;
    h2o_socket_t *socket = nullptr;
    ConnectionState state; // of the connection
    std::unique_ptr<ServerProbe> probe; // while it is in progress
    std::uint32_t probes = 0; // connections on which the server was asked
    TimePoint connectStartedAt;
    EventLoop::Timer confirmTimer; // until the connection counts as accepted
    EventLoop::Timer deferred; // delivers a result that was known within start()
    mutable TimePoint progressAt; // of the last progress that was seen
    mutable std::uint64_t lastBytesTransferred = 0; // at progressAt
    bool starting = false; // start() has not returned
    bool reused = false; // the connection had carried an earlier request
    bool hasResponded = false; // the server has, on this connection
    bool sent = false; // a byte of the request may have been written
    bool fullyWritten = false; // the complete request was written
    bool responseBegan = false; // a part of the response has arrived
};

} // namespace cassiaroad
