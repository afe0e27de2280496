#include "connection/httpclient.h"

#include "connection/httpcall.h"

namespace cassiaroad {

struct HttpClient::Private
{
    explicit Private(EventLoop &loop)
        : idleConnections(std::make_shared<IdleConnectionPool>(loop))
        , memory(std::make_shared<ResponseMemory>(maxBufferedBytes))
    { }

    std::shared_ptr<IdleConnectionPool> idleConnections;
    std::shared_ptr<ResponseMemory> memory;
};

HttpClient::HttpClient(EventLoop &loop)
    : d(std::make_unique<Private>(loop))
{ }

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient::Call> HttpClient::send(const HostAddress &server, HttpRequest request,
                                                   std::size_t maxResponseBytes,
                                                   std::function<void(HttpResult)> done,
                                                   DecideWrite decide)
{
    auto call = std::make_unique<HttpCall>(this->d->idleConnections, server, this->d->memory,
                                           std::move(request), maxResponseBytes);
    call->start(std::move(done), std::move(decide), HttpCall::Reuse::Allowed);
    return call;
}

std::unique_ptr<HttpClient::Call> HttpClient::sendOnNewConnection(
        const HostAddress &server, HttpRequest request, std::size_t maxResponseBytes,
        std::function<void(HttpResult)> done)
{
    auto call = std::make_unique<HttpCall>(this->d->idleConnections, server, this->d->memory,
                                           std::move(request), maxResponseBytes);
    call->start(std::move(done), nullptr, HttpCall::Reuse::Never);
    return call;
}

void HttpClient::setMaxBufferedBytes(std::size_t size)
{
    this->d->memory->setMaxBytes(size);
}

void HttpClient::closeIdle(const HostAddress &server, TimePoint openedBefore)
{
    this->d->idleConnections->closeIdle(server, openedBefore);
}

void HttpClient::closeIdleLongerThan(Milliseconds idle)
{
    this->d->idleConnections->closeIdleLongerThan(idle);
}

void HttpClient::trimIdle(const HostAddress &server, std::size_t maxCount)
{
    this->d->idleConnections->trimIdle(server, maxCount);
}

std::size_t HttpClient::bufferedBytes() const
{
    return this->d->memory->usedBytes();
}

std::size_t HttpClient::idleCount(const HostAddress &server) const
{
    return this->d->idleConnections->idleCount(server);
}

} // namespace cassiaroad
