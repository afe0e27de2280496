#include "connection/pipeliner.h"

#include "connection/h2oexchange.h"
#include "connection/requesthead.h"
#include "connection/requestreader.h"

#include <array>

#include <sys/socket.h>

#include <h2o.h>

namespace cassiaroad {

namespace {

// Unread bytes of a socket that are looked at; those of further requests wait for their turn.
constexpr std::size_t maxPeekBytes = std::size_t(16) * 1024;
// Share of the memory of a listener that responses may take while they wait for their turn.
constexpr std::size_t keptShare = 8;

std::string_view inputOf(const ServerConnection &connection)
{
    return { connection.socket->input->bytes, connection.socket->input->size };
}

} // namespace

Pipeliner::Pipeliner(EventLoop &loop, RequestReader &reader, const HttpServerLimits &limits,
                     HttpServer::MayRunAhead mayRunAhead, Start start)
    : loop(loop)
    , reader(reader)
    , maxRequests(limits.maxRequestsAhead)
    , maxHeadBytes(limits.maxHeadBytes)
    , kept(limits.maxRequestBytes / keptShare)
    , mayRunAhead(std::move(mayRunAhead))
    , start(std::move(start))
{ }

bool Pipeliner::isActive(const ServerConnection &connection) const
{
    return this->mayRunAhead && !this->stopped && !connection.closing
           && connection.socket != nullptr;
}

RunAhead Pipeliner::kindOf(const PipelinedHead &head) const
{
    return this->mayRunAhead(head.method, head.host, head.path);
}

bool Pipeliner::takeTurn(ServerConnection &connection, const std::shared_ptr<HttpExchange> &turn)
{
    if (!connection.pipeline) {
        return false;
    }
    const std::shared_ptr<ConnectionPipeline> pipeline = connection.pipeline;
    if (!pipeline->window.takeTurn(inputOf(connection))) {
        this->cancel(connection);
        return false;
    }
    const std::shared_ptr<PipelinedExchange> exchange = std::move(pipeline->exchanges.front());
    pipeline->exchanges.pop_front();
    --this->openCount;
    exchange->takeTurn(turn);
    return true;
}

void Pipeliner::startFollowing(ServerConnection &connection, H2oExchange &open)
{
    if (!this->isActive(connection) || open.isAnswered()) {
        return;
    }
    open.watch();
    const std::string_view input = inputOf(connection);
    // Most connections have no request behind the open one.
    if (findHeadEnd(input) != input.size()) {
        this->startFrom(connection, input, 0);
    }
}

bool Pipeliner::onBytes(ServerConnection &connection)
{
    const std::string_view input = inputOf(connection);
    if (!this->isActive(connection) || input.size() > this->maxHeadBytes + maxPeekBytes) {
        return false;
    }
    std::array<char, maxPeekBytes> unread;
    const ssize_t count = recv(h2o_socket_get_fd(connection.socket), unread.data(), unread.size(),
                               MSG_PEEK | MSG_DONTWAIT);
    // Without new bytes, the end of the stream has woken the server.
    if (count <= 0 || static_cast<std::size_t>(count) <= connection.peekedBytes) {
        return false;
    }
    const auto size = static_cast<std::size_t>(count);
    std::string bytes(input);
    bytes.append(unread.data(), size);
    return this->startFrom(connection, bytes, size);
}

bool Pipeliner::startFrom(ServerConnection &connection, std::string_view bytes,
                          std::size_t peekedBytes)
{
    if (!connection.pipeline) {
        connection.pipeline = std::make_shared<ConnectionPipeline>(
                ConnectionPipeline { { this->maxRequests, this->maxHeadBytes }, {} });
    }
    const std::shared_ptr<ConnectionPipeline> pipeline = connection.pipeline;
    PipelineWindow::Decision decision
            = pipeline->window.decide(bytes, [this](const PipelinedHead &head) {
                  return this->kindOf(head) != RunAhead::Never;
              });
    std::vector<std::shared_ptr<PipelinedExchange>> starting;
    for (PipelinedHead &head : decision.starting) {
        const RunAhead kind = this->kindOf(head);
        head.connection = connection.id;
        auto exchange = PipelinedExchange::create(std::move(head), this->loop.now(),
                                                  { this->reader, this->kept }, kind);
        if (!exchange) {
            decision.awaitsMore = false;
            break;
        }
        starting.push_back(exchange);
        pipeline->exchanges.push_back(std::move(exchange));
    }
    pipeline->window.truncate(pipeline->exchanges.size());
    const bool watchesOn = decision.awaitsMore && peekedBytes < maxPeekBytes;
    if (watchesOn) {
        wakeBeyond(connection, peekedBytes);
    }
    this->openCount += starting.size();
    this->startedCount += starting.size();
    // The handler may answer the open request, which ends the watch.
    for (const std::shared_ptr<PipelinedExchange> &exchange : starting) {
        if (!exchange->isClientGone()) {
            this->start(exchange);
        }
    }
    return watchesOn;
}

void Pipeliner::cancel(ServerConnection &connection)
{
    const std::shared_ptr<ConnectionPipeline> pipeline = connection.pipeline;
    if (!pipeline) {
        return;
    }
    pipeline->window.truncate(0);
    const auto cancelled = std::exchange(pipeline->exchanges, {});
    this->openCount -= cancelled.size();
    for (const std::shared_ptr<PipelinedExchange> &exchange : cancelled) {
        exchange->cancel();
    }
}

bool Pipeliner::hasStartedBehindNext(const ServerConnection &connection)
{
    return connection.pipeline && connection.pipeline->exchanges.size() > 1;
}

RequestsAhead Pipeliner::requestsAhead() const
{
    return { this->openCount, this->kept.usedBytes(), this->startedCount };
}

} // namespace cassiaroad
