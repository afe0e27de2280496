#include "gateway/requestanswer.h"

#include "connection/refusalstatus.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

constexpr int statusBadRequest = 400;
constexpr int statusBadGateway = 502;
constexpr int statusGatewayTimeout = 504;

// Formats a duration as seconds with three decimals, for Retry-After.
std::string formatSeconds(Milliseconds span)
{
    const std::string digits = std::to_string(1000 + span.count % 1000);
    return std::to_string(span.count / 1000) + "." + digits.substr(1);
}

// Label of the outcome in the metrics.
std::string outcomeGroup(int status)
{
    if (status < statusBadRequest) {
        return "answered";
    }
    if (status == statusUnavailable) {
        return "refused";
    }
    return status == statusBadGateway || status == statusGatewayTimeout ? "unknown" : "failed";
}

} // namespace

RequestAnswer forwardedAnswer(HttpResponse response, const std::string &outcome)
{
    return { response.status, HopHeaders::ofResponse(response.headers), std::move(response.body),
             outcome };
}

RequestAnswer refusalOf(const ClientRequest &request, Milliseconds retryAfter,
                        const std::string &reason, TimePoint now)
{
    const Milliseconds after = std::clamp(retryAfter, Milliseconds {}, request.maxRetryAfter(now));
    return refusalOfBlocked(after, reason);
}

RequestAnswer refusalOfBlocked(Milliseconds blockedFor, const std::string &reason)
{
    return { statusUnavailable, { { "retry-after", formatSeconds(blockedFor) } }, {}, reason };
}

RequestAnswer plainAnswer(int status, const std::string &outcome)
{
    return { status, {}, {}, outcome };
}

RequestAnswer unknownOutcome(const std::string &reason)
{
    return plainAnswer(statusBadGateway, "outcome unknown: " + reason);
}

RequestFacts factsOf(const GatewayCore &core, const ClientRequest &request)
{
    const RoutingView &view = core.view();
    const TimePoint now = core.now();
    RequestFacts told;
    told.requestId = request.exchange->header(core.externalCodec().headers().requestId);
    told.elapsed = now - request.arrivedAt;
    told.timeLeft = request.timeLeft(now);
    if (request.route != nullptr) {
        told.targetLatency = request.route->targetLatency;
    }
    told.service = request.service;
    told.key = request.key;
    told.configuration = request.active ? request.active->configuration.version : 0;
    told.tableTag = view.tableTag;
    told.tableAge = now - view.tableConfirmedAt;
    return told;
}

void deliverAnswer(GatewayCore &core, const ClientRequest &request, RequestAnswer answer,
                   RequestFacts facts)
{
    facts.status = answer.status;
    facts.outcome = answer.outcome;
    logRequestEnd(core.events(), facts);
    if (request.route != nullptr) {
        core.countOutcome(request.route->kind, outcomeGroup(answer.status),
                          core.now() - request.arrivedAt, facts.queuedDuration);
    }
    if (!request.exchange->isClientGone()) {
        request.exchange->answer(answer.status, std::move(answer.headers), std::move(answer.body));
    }
}

} // namespace cassiaroad
