#pragma once

#include "cassiaroad/controlengine.h"
#include "connection/httpserver.h"

#include <functional>
#include <memory>
#include <string>

namespace cassiaroad {

/**
 * HTTP server with JSON for operators: intents, plans, confirmations, the record and the status of
 * the control group; also health and metrics of the control host. Loop thread only.
 */
class OperatorService : private kj::TaskSet::ErrorHandler
{
public:
    /** All references must outlive the service. */
    OperatorService(EventLoop &loop, ControlEngine &engine, Metrics &metrics, std::string token);
    ~OperatorService();

    /** Binds and listens. Returns an empty text, or why it failed. */
    std::string listen(const HostAddress &address) { return this->server.listen(address); }

    std::uint16_t port() const { return this->server.port(); }

    /** Stops accepting and closes connections after their current request. */
    void shutDown(std::function<void()> done) { this->server.shutDown(std::move(done)); }

private:
    using ExchangePtr = std::shared_ptr<HttpExchange>;
    using OnReply = std::function<void(const ExchangePtr &, const OwnershipAction &)>;

    void handle(const ExchangePtr &exchange);
    void handleAuthorized(const ExchangePtr &exchange);
    bool isAuthorized(const HttpExchange &exchange) const;
    void intent(const ExchangePtr &exchange);
    void confirm(const ExchangePtr &exchange);
    void plan(const ExchangePtr &exchange, const std::string &number) const;
    void record(const ExchangePtr &exchange) const;
    void answerHealth(HttpExchange &exchange) const;
    void answerNotLeader(HttpExchange &exchange) const;
    void answerPlan(HttpExchange &exchange, const OwnershipAction &action) const;
    void answerConfirm(HttpExchange &exchange, const ConfirmationId &id,
                       const OwnershipAction &action) const;
    void answerConfirmation(HttpExchange &exchange, const Confirmation &confirmation) const;
    void callEngine(const ExchangePtr &exchange, const ControlEngine::MakeEvent &makeEvent,
                    const OnReply &onReply);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop;
    ControlEngine &engine;
    Metrics &metrics;
    std::string token;
    HttpServer server;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
