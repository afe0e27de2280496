#include "cassiaroad/requestdispatcher.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr int badRequest = 400;
constexpr int gatewayTimeout = 504;
constexpr int clientGone = 499; // recorded, but never sent: the client has disconnected
constexpr std::size_t maxIdempotencyKeyLength = 255;
constexpr std::string_view uploadContentType = "application/offset+octet-stream";

bool isIdempotent(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "PUT" || method == "DELETE"
           || method == "OPTIONS";
}

bool isRead(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool isMethod(std::string_view method)
{
    return !method.empty() && method.size() <= 16
           && std::all_of(method.begin(), method.end(),
                          [](char letter) { return letter >= 'A' && letter <= 'Z'; });
}

bool isIdempotencyKey(std::string_view key)
{
    return key.size() <= maxIdempotencyKeyLength
           && std::all_of(key.begin(), key.end(),
                          [](char letter) { return letter > ' ' && letter < '\x7f'; });
}

HttpResponse textResponse(int status, const std::string &reason)
{
    Headers headers { { "content-type", "text/plain" } };
    if (status == 409 || status == 503) {
        headers.emplace_back("retry-after", "1");
    }
    return { status, std::move(headers), reason + "\n" };
}

HttpResponse responseOf(const RequestEnd &end)
{
    if (const auto *refused = std::get_if<RefusedNotRun>(&end.outcome)) {
        return textResponse(refused->status(), refused->reason());
    }
    if (const auto *unknown = std::get_if<OutcomeUnknown>(&end.outcome)) {
        return textResponse(unknown->status, unknown->reason);
    }
    return end.response;
}

} // namespace

RequestDispatcher::RequestDispatcher(const Parts &parts)
    : parts(parts)
    , router(parts.settings)
    , defaultDeadline(parts.settings.timing.defaultDeadline)
    , random(std::random_device {}())
{ }

RequestDispatcher::~RequestDispatcher()
{
    // Requests that are still open get no response; their callbacks must not be called any more.
    for (const auto &[id, entry] : this->openRequests) {
        entry.request->exchange->onClientGone(nullptr);
    }
}

void RequestDispatcher::accept(std::shared_ptr<HttpExchange> exchange)
{
    auto request = std::make_shared<EntryRequest>();
    request->id = ++this->lastId;
    request->exchange = std::move(exchange);
    request->receivedAt = this->parts.loop.now();
    request->receivedWallTime = Clock::wallMilliseconds();
    const std::string_view path = request->exchange->path();
    const bool forwarded = !request->exchange->header("cassiaroad-hop").empty();
    const std::variant<Target, BadRequest> resolved = this->router.resolve(path, forwarded);
    std::string inputError;
    int status = badRequest;
    if (const auto *bad = std::get_if<BadRequest>(&resolved)) {
        status = bad->status;
        inputError = bad->reason;
    } else {
        request->target = std::get<Target>(resolved);
        inputError = this->readRequest(*request);
    }
    if (!inputError.empty()) {
        this->parts.metrics.countBadRequest();
        answer(*request->exchange, { request->progress.refuse(status, inputError), {}, {} });
        return;
    }
    this->start(request);
}

// Fills in what the request says; returns an empty text, or why the request is refused.
std::string RequestDispatcher::readRequest(EntryRequest &request)
{
    const HttpExchange &exchange = *request.exchange;
    request.method = exchange.method();
    request.path = exchange.path();
    if (!isMethod(request.method) || request.method == "CONNECT" || request.method == "TRACE") {
        return "the method is not supported";
    }
    std::optional<Headers> headers = HopHeaders::endToEnd(exchange.headers());
    if (!headers.has_value()) {
        return "a header contains characters that are not allowed";
    }
    if (!isIdempotencyKey(exchange.header("idempotency-key"))) {
        return "the Idempotency-Key is longer than 255 or not visible ASCII";
    }
    request.headers = std::move(*headers);
    request.upload = exchange.header("content-type") == uploadContentType;
    const Deadline fallback = request.upload
                                      ? Deadline::unlimited()
                                      : Deadline::after(this->defaultDeadline, request.receivedAt);
    const std::optional<Deadline> deadline = Deadline::parse(
            exchange.header("cassiaroad-deadline-ms"), fallback, request.receivedAt);
    if (!deadline.has_value()) {
        return "Cassiaroad-Deadline-Ms is not a number from 1 to 600000";
    }
    request.deadline = *deadline;
    request.idempotent = isIdempotent(request.method);
    request.priority = isRead(request.method) ? request.target.service->readPriority
                                              : request.target.service->writePriority;
    request.trace = TraceContext::continueFrom(exchange.header("traceparent"), this->random(),
                                               this->random(), this->random());
    return {};
}

void RequestDispatcher::start(const RequestPtr &request)
{
    const std::string idempotencyKey(request->exchange->header("idempotency-key"));
    const bool local = this->router.isLocal(request->target);
    const bool keyed = local && !idempotencyKey.empty()
                       && (request->method == "POST" || request->method == "PATCH");
    this->openRequests.emplace(request->id, OpenRequest { request, keyed });
    request->exchange->onClientGone([this, id = request->id] {
        this->stop(this->openRequests.at(id), clientGone, "the caller has gone");
    });
    const auto done = [this, request](const RequestEnd &end) { this->conclude(request, end); };
    if (!local) {
        this->parts.regions.run(request, done);
    } else if (keyed) {
        this->parts.keyed.run(request, idempotencyKey, done);
    } else {
        this->parts.owners.run(request, done);
    }
}

void RequestDispatcher::stop(const OpenRequest &entry, int status, const std::string &reason)
{
    const RequestPtr request = entry.request;
    if (entry.keyed) {
        this->parts.keyed.stop(request, status, reason);
    } else if (this->router.isLocal(request->target)) {
        this->parts.owners.stop(request, status, reason);
    } else {
        this->parts.regions.stop(request, status, reason);
    }
}

void RequestDispatcher::tick()
{
    const TimePoint now = this->parts.loop.now();
    std::vector<RequestId> late;
    for (const auto &[id, entry] : this->openRequests) {
        if (entry.request->deadline.hasPassed(now)) {
            late.push_back(id);
        }
    }
    for (const RequestId id : late) {
        const auto found = this->openRequests.find(id);
        if (found != this->openRequests.end()) {
            this->stop(found->second, gatewayTimeout, "the deadline has passed");
        }
    }
}

void RequestDispatcher::conclude(const RequestPtr &request, const RequestEnd &end)
{
    const Milliseconds duration = this->parts.loop.now() - request->receivedAt;
    this->openRequests.erase(request->id);
    this->parts.metrics.countEnd(request->target.service->name, end.outcome, duration);
    this->record(*request, end.outcome);
    if (!request->exchange->isClientGone()) {
        answer(*request->exchange, end);
    }
}

void RequestDispatcher::answer(HttpExchange &exchange, const RequestEnd &end)
{
    HttpResponse sent = responseOf(end);
    sent.headers.emplace_back("cassiaroad-outcome", outcomeHeaderValue(end.outcome));
    sent.headers.insert(sent.headers.end(), end.extraHeaders.begin(), end.extraHeaders.end());
    exchange.answer(sent.status, std::move(sent.headers), std::move(sent.body));
}

void RequestDispatcher::record(const EntryRequest &request, const RequestOutcome &outcome)
{
    if (!this->parts.tracer.isEnabled() || !request.trace.sampled) {
        return;
    }
    Span span { request.trace.traceId,
                request.trace.spanId,
                request.trace.parentSpanId,
                "entry " + request.method + " " + request.target.service->name,
                request.receivedWallTime,
                Clock::wallMilliseconds(),
                !std::holds_alternative<Answered>(outcome),
                {} };
    span.attributes = { { "cassiaroad.key", request.target.key },
                        { "cassiaroad.upstream", request.owner.upstream.name },
                        { "cassiaroad.outcome", outcomeHeaderValue(outcome) } };
    this->parts.tracer.record(span);
}

} // namespace cassiaroad
