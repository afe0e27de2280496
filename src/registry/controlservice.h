#pragma once

#include "connection/httpserver.h"
#include "registry/registryengine.h"

namespace cassiaroad {

/** HTTP interface of a control host for upstreams and operators. Loop thread only. */
class ControlService
{
public:
    /** The arguments, except @p limits, must outlive the service. */
    ControlService(EventLoop &loop, RegistryEngine &engine, const ExternalCodec &codec,
                   EventLog &log, const HttpServerLimits &limits);

    /**
     * Listens on @p bindIp, at the port of @p address, which is where clients reach this host.
     * Returns an empty text, or why it failed.
     */
    std::string listen(const HostAddress &address, const std::string &bindIp);

    /** Connections of upstreams and operators that are open. */
    std::size_t connectionCount() const { return this->server.connectionCount(); }
    /** See HttpServer::rejectedConnectionCount(). */
    std::uint64_t rejectedConnectionCount() const { return this->server.rejectedConnectionCount(); }

    /** See HttpServer::shutDown(). */
    void shutDown(std::function<void()> done) { this->server.shutDown(std::move(done)); }

private:
    using Exchange = std::shared_ptr<HttpExchange>;

    void handle(const Exchange &exchange);
    void handleHeartbeat(const Exchange &exchange, const UpstreamReport &report);
    void handleLeave(const Exchange &exchange, const UpstreamIncarnation &incarnation);
    void handlePut(const Exchange &exchange, PutConfigurationCall call);
    void handleEvacuation(const Exchange &exchange, const EvacuationChange &order);
    void handleRead(const Exchange &exchange);
    void redirect(const Exchange &exchange, const NotLeading &notLeading);

    EventLoop &loop;
    RegistryEngine &engine;
    const ExternalCodec &codec;
    EventLog &log;
    HostAddress address;
    HttpServer server;
};

} // namespace cassiaroad
