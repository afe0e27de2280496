#include "registry/controlservice.h"

#include "connection/refusalstatus.h"

namespace cassiaroad {

namespace {

constexpr int statusOk = 200;
constexpr int statusRedirect = 307;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 412;

using Headers = std::vector<std::pair<std::string, std::string>>;

const Headers jsonHeaders { { "content-type", "application/json" } };

void answer(const std::shared_ptr<HttpExchange> &exchange, int status, std::string body = "{}")
{
    if (!exchange->isClientGone()) {
        exchange->answer(status, jsonHeaders, std::move(body));
    }
}

} // namespace

ControlService::ControlService(EventLoop &loop, RegistryEngine &engine, const ExternalCodec &codec,
                               EventLog &log, const HttpServerLimits &limits)
    : loop(loop)
    , engine(engine)
    , codec(codec)
    , log(log)
    , server(loop, limits, [this](const Exchange &exchange) { this->handle(exchange); })
{ }

std::string ControlService::listen(const HostAddress &ownAddress, const std::string &bindIp)
{
    this->address = ownAddress;
    return this->server.listen({ bindIp, ownAddress.port });
}

void ControlService::handle(const Exchange &exchange)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::Heartbeats);
    ControlCall call = this->codec.decodeCall({ exchange->method(), exchange->path(),
                                                exchange->header(this->codec.headers().baseVersion),
                                                exchange->body() });
    if (const auto *heartbeat = std::get_if<HeartbeatCall>(&call)) {
        this->handleHeartbeat(exchange, heartbeat->report);
    } else if (const auto *leave = std::get_if<LeaveCall>(&call)) {
        this->handleLeave(exchange, leave->incarnation);
    } else if (auto *put = std::get_if<PutConfigurationCall>(&call)) {
        this->handlePut(exchange, std::move(*put));
    } else if (const auto *evacuation = std::get_if<EvacuationCall>(&call)) {
        this->handleEvacuation(exchange, evacuation->order);
    } else if (std::holds_alternative<ReadConfigurationCall>(call)) {
        this->handleRead(exchange);
    } else if (const auto *malformed = std::get_if<MalformedCall>(&call)) {
        this->log.write(
                { "call_malformed",
                  Event::Weight::Important,
                  { { "path", std::string(exchange->path()) }, { "reason", malformed->reason } } });
        answer(exchange, statusBadRequest);
    } else {
        answer(exchange, statusNotFound);
    }
}

// Redirects the caller to the leader. If the leader is unknown, responds with 503, whereupon the
// caller tries another member.
void ControlService::redirect(const Exchange &exchange, const NotLeading &notLeading)
{
    if (exchange->isClientGone()) {
        return;
    }
    if (notLeading.leaderIp.empty() || notLeading.leaderIp == this->address.ip) {
        answer(exchange, statusUnavailable);
        return;
    }
    const HostAddress leader { notLeading.leaderIp, this->address.port };
    exchange->answer(
            statusRedirect,
            { { "location", "http://" + leader.toString() + std::string(exchange->path()) } }, {});
}

void ControlService::handleHeartbeat(const Exchange &exchange, const UpstreamReport &report)
{
    this->engine.handleHeartbeat(report, [this, exchange](const HeartbeatResult &result) {
        if (const auto *response = std::get_if<HeartbeatResponse>(&result)) {
            answer(exchange, statusOk, this->codec.encodeHeartbeatResponse(*response));
        } else if (const auto *elsewhere = std::get_if<NotLeading>(&result)) {
            this->redirect(exchange, *elsewhere);
        } else {
            answer(exchange, statusUnavailable);
        }
    });
}

void ControlService::handleLeave(const Exchange &exchange, const UpstreamIncarnation &incarnation)
{
    this->engine.leave(incarnation, [this, exchange](const LeaveResult &result) {
        if (std::holds_alternative<std::monostate>(result)) {
            answer(exchange, statusOk);
        } else if (const auto *elsewhere = std::get_if<NotLeading>(&result)) {
            this->redirect(exchange, *elsewhere);
        } else {
            answer(exchange, statusUnavailable);
        }
    });
}

void ControlService::handlePut(const Exchange &exchange, PutConfigurationCall call)
{
    const auto base = std::int64_t(call.base);
    const auto bytes = std::int64_t(call.document.size());
    this->engine.put(std::move(call), [this, exchange, base, bytes](const PutResult &result) {
        int status = statusUnavailable;
        std::string reason;
        if (const auto *outcome = std::get_if<PutOutcome>(&result)) {
            status = *outcome == PutOutcome::Conflict ? statusConflict : statusOk;
        } else if (const auto *invalid = std::get_if<InvalidConfiguration>(&result)) {
            status = statusBadRequest;
            reason = invalid->reason;
        } else if (const auto *elsewhere = std::get_if<NotLeading>(&result)) {
            this->redirect(exchange, *elsewhere);
            return;
        }
        this->log.write({ "order_answered",
                          Event::Weight::Important,
                          { { "status", std::int64_t(status) },
                            { "base", base },
                            { "bytes", bytes },
                            { "reason", reason } } });
        answer(exchange, status);
    });
}

void ControlService::handleEvacuation(const Exchange &exchange, const EvacuationChange &order)
{
    this->engine.orderEvacuation(order, [this, exchange, order](const EvacuationResult &result) {
        int status = statusUnavailable;
        std::string body = "{}";
        if (std::holds_alternative<std::monostate>(result)) {
            status = statusOk;
        } else if (const auto *unknown = std::get_if<UnknownZone>(&result)) {
            status = statusNotFound;
            body = this->codec.encodeRefusal(unknown->reason);
        } else if (const auto *elsewhere = std::get_if<NotLeading>(&result)) {
            this->redirect(exchange, *elsewhere);
            return;
        }
        this->log.write({ "evacuation_answered",
                          Event::Weight::Important,
                          { { "zone", order.zone },
                            { "started", order.started },
                            { "status", std::int64_t(status) } } });
        answer(exchange, status, std::move(body));
    });
}

void ControlService::handleRead(const Exchange &exchange)
{
    this->engine.read([this, exchange](const ReadResult &result) {
        if (const auto *document = std::get_if<ConfigurationDocument>(&result)) {
            answer(exchange, statusOk, document->text);
            return;
        }
        this->redirect(exchange, std::get<NotLeading>(result));
    });
}

} // namespace cassiaroad
