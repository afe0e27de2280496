#include "cassiaroad/operatorservice.h"

#include "cassiaroad/controlstatus.h"
#include "cassiaroad/operatorjson.h"
#include "connection/rpcdelay.h"
#include "process/log.h"
#include "process/parsenumber.h"

#include <openssl/crypto.h>

namespace cassiaroad {

namespace {

using nlohmann::json;

const Log planLog("plan");

constexpr std::size_t maxBodyBytes = std::size_t(64) * 1024;
constexpr std::uint32_t maxConnections = 200;
// Upper bound of the time until a response; a confirmation is answered earlier, once it is in
// force.
constexpr Milliseconds responseTimeout { 5000 };
constexpr std::size_t maxRecordLimit = 10000;
const std::string planPrefix = "/v1/plan/";

void answerJson(HttpExchange &exchange, int status, const json &body)
{
    exchange.answer(status, { { "content-type", "application/json" } }, body.dump() + "\n");
}

void answerError(HttpExchange &exchange, int status, const std::string &reason)
{
    answerJson(exchange, status, { { "error", reason } });
}

/** Returns the object in the body; null if the body is no JSON object. */
json readBody(const HttpExchange &exchange)
{
    const json body = json::parse(exchange.body(), nullptr, false);
    return body.is_object() ? body : json();
}

std::string textField(const json &body, const char *name)
{
    const auto field = body.find(name);
    return field != body.end() && field->is_string() ? field->get<std::string>() : std::string();
}

std::uint64_t numberField(const json &body, const char *name, std::uint64_t fallback)
{
    const auto field = body.find(name);
    return field != body.end() && field->is_number_unsigned() ? field->get<std::uint64_t>()
                                                              : fallback;
}

int statusOf(ConfirmStatus status)
{
    switch (status) {
    case ConfirmStatus::Accepted:
        return 200;
    case ConfirmStatus::UnknownPlan:
        return 404;
    case ConfirmStatus::TooMany:
        return 503;
    case ConfirmStatus::Conflict:
    case ConfirmStatus::NumberReused:
        return 409;
    }
    return 500;
}

} // namespace

OperatorService::OperatorService(EventLoop &loop, ControlEngine &engine, Metrics &metrics,
                                 std::string token)
    : loop(loop)
    , engine(engine)
    , metrics(metrics)
    , token(std::move(token))
    , server(loop, { .maxBodyBytes = maxBodyBytes, .maxConnections = maxConnections },
             [this](const ExchangePtr &exchange) { this->handle(exchange); })
    , tasks(*this)
{ }

OperatorService::~OperatorService() = default;

void OperatorService::handle(const ExchangePtr &exchange)
{
    const std::string path(exchange->path());
    if (path == "/healthz") {
        this->answerHealth(*exchange);
    } else if (path == "/metrics") {
        this->engine.updateMetrics();
        exchange->answer(200, { { "content-type", Metrics::contentType } }, this->metrics.text());
    } else if (!this->isAuthorized(*exchange)) {
        answerError(*exchange, 401, "a valid operator token is needed");
    } else if (!this->engine.canAnswer()) {
        this->answerNotLeader(*exchange);
    } else {
        this->handleAuthorized(exchange);
    }
}

void OperatorService::handleAuthorized(const ExchangePtr &exchange)
{
    const std::string path(exchange->path());
    const bool get = exchange->method() == "GET";
    const bool post = exchange->method() == "POST";
    if (path == "/v1/intent" && post) {
        this->intent(exchange);
    } else if (path == "/v1/confirm" && post) {
        this->confirm(exchange);
    } else if (path.starts_with(planPrefix) && get) {
        this->plan(exchange, path.substr(planPrefix.size()));
    } else if (path == "/v1/record" && (get || post)) {
        this->record(exchange);
    } else if (path == "/v1/status" && get) {
        answerJson(*exchange, 200, controlStatus(this->engine));
    } else {
        answerError(*exchange, 404, "no such resource or method");
    }
}

bool OperatorService::isAuthorized(const HttpExchange &exchange) const
{
    const std::string expected = "Bearer " + this->token;
    const std::string_view given = exchange.header("authorization");
    return !this->token.empty() && given.size() == expected.size()
           && CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

void OperatorService::answerHealth(HttpExchange &exchange) const
{
    const MemberSettings *leader = this->engine.leader();
    const json body = { { "leader", leader == nullptr ? json(nullptr) : json(leader->number) } };
    answerJson(exchange, leader == nullptr ? 503 : 200, body);
}

void OperatorService::answerNotLeader(HttpExchange &exchange) const
{
    const MemberSettings *leader = this->engine.leader();
    const std::uint32_t self = std::get<ControlSettings>(this->engine.configuration().role).member;
    if (leader == nullptr || leader->number == self) {
        answerError(exchange, 503, "the group has no leader at present");
        return;
    }
    const std::string location
            = "http://" + leader->operators.toString() + std::string(exchange.path());
    exchange.answer(307, { { "location", location } }, "");
}

void OperatorService::callEngine(const ExchangePtr &exchange,
                                 const ControlEngine::MakeEvent &makeEvent, const OnReply &onReply)
{
    auto timedOut = rpcDelay(this->loop, responseTimeout).then([]() -> OwnershipAction {
        return ReplyFailed { 0, "no result in time; ask again with the same number" };
    });
    this->tasks.add(this->engine.call(makeEvent)
                            .exclusiveJoin(kj::mv(timedOut))
                            .then([this, exchange, onReply](OwnershipAction &&action) {
                                if (std::holds_alternative<ReplyNotLeader>(action)) {
                                    this->answerNotLeader(*exchange);
                                } else {
                                    onReply(exchange, action);
                                }
                            }));
}

void OperatorService::intent(const ExchangePtr &exchange)
{
    const json body = readBody(*exchange);
    const std::string who = textField(body, "who");
    const std::string why = textField(body, "why");
    std::vector<std::string> words;
    for (const json &word :
         body.is_object() ? body.value("intent", json::array()) : json::array()) {
        words.push_back(word.is_string() ? word.get<std::string>() : std::string());
    }
    if (who.empty() || why.empty()) {
        answerError(*exchange, 400, "who and why are needed");
        return;
    }
    const std::variant<Intent, IntentError> intent = parseIntent(words);
    if (const auto *error = std::get_if<IntentError>(&intent)) {
        answerError(*exchange, 400, error->reason);
        return;
    }
    this->callEngine(
            exchange,
            [who, why, intent = std::get<Intent>(intent)](CallId call) -> OwnershipEvent {
                return PlanRequested { call, who, why, intent };
            },
            [this](const ExchangePtr &answered, const OwnershipAction &action) {
                this->answerPlan(*answered, action);
            });
}

void OperatorService::answerPlan(HttpExchange &exchange, const OwnershipAction &action) const
{
    const auto *reply = std::get_if<ReplyPlan>(&action);
    if (reply == nullptr) {
        const auto *failed = std::get_if<ReplyFailed>(&action);
        answerError(exchange, 503, failed == nullptr ? "no plan was made" : failed->reason);
    } else if (!reply->refused.empty()) {
        answerError(exchange, 409, reply->refused);
    } else {
        planLog.info("plan " + std::to_string(reply->plan.number) + " of " + reply->plan.who + ": "
                     + toString(reply->plan.intent));
        answerJson(exchange, 200, toJson(reply->plan));
    }
}

void OperatorService::confirm(const ExchangePtr &exchange)
{
    const json body = readBody(*exchange);
    const ConfirmationId id { textField(body, "who"), numberField(body, "number", 0) };
    const PlanNumber plan = numberField(body, "plan", 0);
    if (id.who.empty() || id.number == 0 || plan == 0) {
        answerError(*exchange, 400, "who, number and plan are needed; numbers start at 1");
        return;
    }
    this->callEngine(
            exchange,
            [id, plan](CallId call) -> OwnershipEvent {
                return ConfirmRequested { call, id, plan };
            },
            [this, id](const ExchangePtr &answered, const OwnershipAction &action) {
                this->answerConfirm(*answered, id, action);
            });
}

void OperatorService::answerConfirm(HttpExchange &exchange, const ConfirmationId &id,
                                    const OwnershipAction &action) const
{
    const Confirmation *stored = this->engine.state().plans().result(id);
    if (const auto *reply = std::get_if<ReplyConfirm>(&action)) {
        this->answerConfirmation(exchange, reply->confirmation);
    } else if (stored != nullptr) {
        this->answerConfirmation(exchange, *stored);
    } else {
        const auto *failed = std::get_if<ReplyFailed>(&action);
        answerError(exchange, 503, failed == nullptr ? "not confirmed" : failed->reason);
    }
}

void OperatorService::answerConfirmation(HttpExchange &exchange,
                                         const Confirmation &confirmation) const
{
    planLog.info("confirmation " + std::to_string(confirmation.id.number) + " of "
                 + confirmation.id.who + " for plan " + std::to_string(confirmation.plan) + ": "
                 + toJson(confirmation)["status"].get<std::string>());
    answerJson(exchange, statusOf(confirmation.status), toJson(confirmation));
}

void OperatorService::plan(const ExchangePtr &exchange, const std::string &number) const
{
    const auto plan = parseNumber<PlanNumber>(number);
    const PlanEntry *entry = plan ? this->engine.state().plans().find(*plan) : nullptr;
    if (entry == nullptr) {
        answerError(*exchange, 404, "plan " + number + " does not exist or is no longer kept");
        return;
    }
    answerJson(*exchange, 200, toJson(*entry));
}

void OperatorService::record(const ExchangePtr &exchange) const
{
    const json body = readBody(*exchange);
    RecordQuery query;
    query.who = textField(body, "who");
    query.text = textField(body, "text");
    query.limit = std::min<std::size_t>(numberField(body, "limit", query.limit), maxRecordLimit);
    json entries = json::array();
    for (const RecordEntry &entry : this->engine.state().plans().search(query)) {
        entries.push_back(toJson(entry));
    }
    answerJson(*exchange, 200, { { "record", std::move(entries) } });
}

void OperatorService::taskFailed(kj::Exception &&exception)
{
    planLog.error(kj::str("unexpected error while an operator's request was handled: ",
                          exception.getDescription())
                          .cStr());
}

} // namespace cassiaroad
