#pragma once

#include "connection/httpserver.h"
#include "connection/keptresponses.h"
#include "connection/pipelinedexchange.h"
#include "connection/pipelinewindow.h"
#include "connection/serverconnection.h"

#include <deque>
#include <string>

namespace cassiaroad {

/** Requests of one connection that were started before their turn. */
struct ConnectionPipeline
{
    PipelineWindow window;
    std::deque<std::shared_ptr<PipelinedExchange>> exchanges; // in the order of `window`
};

/**
 * Starts pipelined requests of a listener's HTTP/1.1 connections while the requests before them are
 * open. h2o hands on a request only when the response to the one before it is written, and until
 * then needs its input unchanged. The requests behind it are therefore looked up where they are: in
 * h2o's input, and in the socket without taking them from there. h2o reads them again when their
 * turn has come, so that it alone determines the order of responses and the end of a connection.
 * Loop thread only.
 */
class Pipeliner
{
public:
    using Start = std::function<void(std::shared_ptr<HttpExchange>)>;

    /** @p loop and @p reader must outlive it. Without @p mayRunAhead nothing is started. */
    Pipeliner(EventLoop &loop, RequestReader &reader, const HttpServerLimits &limits,
              HttpServer::MayRunAhead mayRunAhead, Start start);
    Pipeliner(const Pipeliner &) = delete;
    Pipeliner &operator=(const Pipeliner &) = delete;

    /** Changes the largest head of the requests on connections without a pipeline. */
    void setMaxHeadBytes(std::size_t size) { this->maxHeadBytes = size; }

    /**
     * h2o hands on the next request of @p connection as @p turn. Returns whether it was started
     * before; then its response goes out through @p turn.
     */
    bool takeTurn(ServerConnection &connection, const std::shared_ptr<HttpExchange> &turn);

    /**
     * Starts requests that have arrived behind the open one, @p open, and goes on doing so until it
     * is answered. Precondition: the connection stays open after its response.
     */
    void startFollowing(ServerConnection &connection, H2oExchange &open);

    /**
     * The socket of @p connection has unread bytes behind its open request. Returns whether it is
     * to be watched for more.
     */
    bool onBytes(ServerConnection &connection);

    /** Cancels the requests of @p connection that were started and have not had their turn. */
    void cancel(ServerConnection &connection);

    /** Starts nothing from now on. Requests that were started get their turn. */
    void stop() { this->stopped = true; }

    /**
     * Whether requests of @p connection were started that come behind the next one to have its
     * turn. The connection must stay open until they are answered: they may have run.
     */
    static bool hasStartedBehindNext(const ServerConnection &connection);

    RequestsAhead requestsAhead() const;

private:
    bool isActive(const ServerConnection &connection) const;
    /** Starts what may start. Returns whether more bytes may let further requests start. */
    bool startFrom(ServerConnection &connection, std::string_view bytes, std::size_t peekedBytes);
    RunAhead kindOf(const PipelinedHead &head) const;

    EventLoop &loop;
    RequestReader &reader;
    std::size_t maxRequests;
    std::size_t maxHeadBytes;
    KeptResponses kept;
    HttpServer::MayRunAhead mayRunAhead;
    Start start;
    std::size_t openCount = 0;
    std::uint64_t startedCount = 0;
    bool stopped = false;
};

} // namespace cassiaroad
