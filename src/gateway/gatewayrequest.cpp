#include "gateway/gatewayrequest.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cassiaroad {

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusMisdirected = 421;
constexpr int statusServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

constexpr Milliseconds defaultClientTime { 10000 };
constexpr std::size_t maxResponseBytes = std::size_t(64) * 1024 * 1024;
// A planned change of owner takes about half a second; a lost owner takes longer.
constexpr Milliseconds ownerWait { 700 };
// The new owner may learn of its keys some milliseconds after the gateway.
constexpr Milliseconds misdirectedDelay { 60 };
constexpr Milliseconds shedDelay { 25 };
constexpr Milliseconds connectTimeout { 400 };
constexpr Milliseconds reconnectDelay { 20 };
constexpr Milliseconds callCheck { 50 };
// An idempotent request that takes this many times the usual is sent again.
constexpr std::int64_t slowFactor = 6;
constexpr Milliseconds shortestSlow { 600 };
constexpr std::uint32_t mostSends = 4;
constexpr Milliseconds shortestRetryAfter { 50 };
// While control is away; a restart takes about as long.
constexpr Milliseconds outageRetryAfter { 1000 };

template <typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number number {};
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    return error == std::errc() && stop == end ? std::optional(number) : std::nullopt;
}

std::string secondsText(Milliseconds span)
{
    const std::string digits = std::to_string(1000 + span.count % 1000);
    return std::to_string(span.count / 1000) + "." + digits.substr(1);
}

} // namespace

void GatewayRequest::begin(GatewayCore &core, std::shared_ptr<HttpExchange> exchange)
{
    const auto request = std::make_shared<GatewayRequest>(core, std::move(exchange));
    request->self = request;
    request->start();
}

GatewayRequest::GatewayRequest(GatewayCore &core, std::shared_ptr<HttpExchange> exchange)
    : core(core)
    , exchange(std::move(exchange))
    , id(core.nextRequestId())
    , arrived(core.eventLoop().now())
    , responseDeadline(this->arrived + defaultClientTime)
{ }

std::function<void()> GatewayRequest::callback(Step step)
{
    return [weak = this->weak_from_this(), step] {
        if (const auto request = weak.lock(); request && !request->ended) {
            (*request.*step)();
        }
    };
}

Milliseconds GatewayRequest::timeLeft() const
{
    return std::max(this->responseDeadline - this->core.eventLoop().now(), Milliseconds {});
}

Milliseconds GatewayRequest::typicalDuration() const
{
    if (this->target && this->target->admission().hasMeasuredDuration()) {
        return this->target->admission().typicalDuration();
    }
    return this->usualDuration();
}

// Routes are set up so that most answers come well within the target.
Milliseconds GatewayRequest::usualDuration() const
{
    return this->route != nullptr ? this->route->targetLatency / 3 : Milliseconds { 100 };
}

void GatewayRequest::start()
{
    if (!this->findRoute() || !this->readKey()) {
        return;
    }
    this->core.countRequest(this->service, this->key);
    this->core.addOpenRequest(this->id, this->callback(&GatewayRequest::onGatewayEnds));
    this->exchange->onClientGone(this->callback(&GatewayRequest::onClientGone));
    this->deadlineTimer = this->core.eventLoop().callAfter(
            this->timeLeft(), this->callback(&GatewayRequest::onDeadline));
    this->dispatch();
}

// Answers the request and returns false if it has no route.
bool GatewayRequest::findRoute()
{
    const ExternalHeaders &names = this->core.externalCodec().headers();
    this->clientTime = defaultClientTime;
    if (const auto wait = parseNumber<std::int64_t>(this->exchange->header(names.deadline))) {
        this->clientTime = { std::max<std::int64_t>(*wait, 1) };
    }
    this->responseDeadline = this->arrived + this->clientTime;
    if (this->core.refusesRequests()) {
        this->refuse("gateway stops");
        return false;
    }
    this->active = this->core.view().active;
    if (!this->active) {
        this->refuseUntil(outageRetryAfter, "no configuration yet");
        return false;
    }
    this->route = this->active->routes.find(this->exchange->header("host"), this->exchange->path());
    if (this->route == nullptr) {
        this->finish(statusNotFound, {}, {}, "no route");
        return false;
    }
    this->responseDeadline = this->arrived + std::min(this->clientTime, this->route->timeout);
    this->service = this->core.chooseService(*this->route);
    this->keyed = this->active->configuration.services.at(this->service).keyed;
    return true;
}

// Answers the request and returns false if its service needs a key that it does not have.
bool GatewayRequest::readKey()
{
    if (!this->keyed) {
        return true;
    }
    this->key = parseNumber<KeyNumber>(
            this->exchange->header(this->core.externalCodec().headers().key));
    if (!this->key || *this->key > lastKey) {
        this->finish(statusBadRequest, {}, {}, "no key");
        return false;
    }
    return true;
}

void GatewayRequest::dispatch()
{
    this->stopWaiting();
    this->target.reset();
    if (!this->core.view().table) {
        this->refuseUntil(outageRetryAfter, "no routing table yet");
        return;
    }
    if (!this->keyed) {
        std::shared_ptr<GatewayUpstream> chosen = this->core.choose(this->service, this->tried);
        if (!chosen) {
            this->refuseUntil(outageRetryAfter, "no upstream left");
            return;
        }
        this->enter(std::move(chosen));
        return;
    }
    std::shared_ptr<GatewayUpstream> owner = this->findOwner();
    if (!owner) {
        this->waitForOwner();
        return;
    }
    if (owner->isSuspected(this->core.eventLoop().now())) {
        this->refuseUntil(this->core.ownerReplacement(), "owner does not answer");
        return;
    }
    this->enter(std::move(owner));
}

std::shared_ptr<GatewayUpstream> GatewayRequest::findOwner() const
{
    const RoutedRange *range = this->core.view().table->find(this->service, *this->key);
    if (range == nullptr || range->phase != RangePhase::Owned) {
        return nullptr;
    }
    std::shared_ptr<GatewayUpstream> owner = this->core.upstream(range->upstream);
    const bool isUsable
            = owner && !owner->isReplaced() && !owner->hasLeft(this->core.eventLoop().now());
    return isUsable ? owner : nullptr;
}

// Whether the request, which has waited for its upstream, may still be sent to it.
bool GatewayRequest::maySendToTarget() const
{
    if (this->keyed) {
        return this->findOwner() == this->target;
    }
    return this->target->upstream().phase == UpstreamPhase::Ready && !this->target->isReplaced();
}

void GatewayRequest::startFromQueue()
{
    this->queued = this->core.eventLoop().now() - this->queuedAt;
    this->waitTimer = EventLoop::Timer();
    if (!this->maySendToTarget()) {
        this->target->admission().finishWithoutAnswer();
        this->dispatch();
        return;
    }
    this->occupies = true;
    this->send();
}

void GatewayRequest::waitForOwner()
{
    const TimePoint now = this->core.eventLoop().now();
    const Milliseconds useful = this->timeLeft() - this->typicalDuration();
    const Milliseconds patience = std::max(ownerWait, this->route->targetLatency / 2);
    const Milliseconds wait = std::min(this->arrived + patience - now, useful);
    if (wait <= Milliseconds {}) {
        this->refuseUntil(this->core.ownerReplacement(), "key has no owner");
        return;
    }
    this->queuedAt = now;
    this->tableWait = this->core.waitForTable(this->callback(&GatewayRequest::dispatch));
    this->waitTimer = this->core.eventLoop().callAfter(wait, [weak = this->weak_from_this()] {
        if (const auto request = weak.lock(); request && !request->ended) {
            request->stopWaiting();
            request->refuseUntil(request->core.ownerReplacement(), "key has no owner");
        }
    });
}

void GatewayRequest::enter(std::shared_ptr<GatewayUpstream> chosen)
{
    this->target = std::move(chosen);
    const TimePoint now = this->core.eventLoop().now();
    const AdmissionRequest ticket { this->id, this->route->priority, this->responseDeadline,
                                    this->usualDuration() };
    switch (this->target->admission().enter(ticket, now)) {
    case AdmissionDecision::Start:
        this->occupies = true;
        this->send();
        return;
    case AdmissionDecision::Refuse:
        this->refuse("upstream is busy");
        return;
    case AdmissionDecision::Wait:
        break;
    }
    this->queuedAt = now;
    this->core.waitForRoom(this->id, this->callback(&GatewayRequest::startFromQueue));
    const Milliseconds useful = this->timeLeft() - this->typicalDuration() * 3 / 4;
    this->waitTimer = this->core.eventLoop().callAfter(
            std::max(useful, Milliseconds {}), [weak = this->weak_from_this()] {
                if (const auto request = weak.lock(); request && !request->ended) {
                    request->stopWaiting();
                    request->refuse("waited too long");
                }
            });
}

void GatewayRequest::stopWaiting()
{
    this->waitTimer = EventLoop::Timer();
    if (this->tableWait != 0) {
        this->core.forgetWait(std::exchange(this->tableWait, 0));
        this->ownerWaited = this->ownerWaited + (this->core.eventLoop().now() - this->queuedAt);
    }
    this->core.forgetRoom(this->id);
    if (this->target && !this->occupies) {
        this->target->admission().remove(this->id);
    }
}

HttpRequest GatewayRequest::buildRequest() const
{
    const ExternalHeaders &names = this->core.externalCodec().headers();
    HttpRequest request;
    request.method = this->exchange->method();
    request.path = this->exchange->path();
    request.body = this->exchange->body();
    request.identityHeader = names.requestId;
    request.requiresIdentity = true;
    request.headers = HopHeaders::endToEnd(this->exchange->headers()).value_or(Headers {});
    std::erase_if(request.headers, [&](const auto &header) {
        return header.first == names.deadline || header.first == names.expectedUpstream;
    });
    request.headers.emplace_back("host", this->exchange->header("host"));
    request.headers.emplace_back(names.deadline, std::to_string(this->timeLeft().count));
    request.headers.emplace_back(names.expectedUpstream, this->target->upstream().life.id);
    return request;
}

void GatewayRequest::send()
{
    ++this->sends;
    this->sentAt = this->core.eventLoop().now();
    const std::string &upstreamId = this->target->upstream().life.id;
    if (std::find(this->tried.begin(), this->tried.end(), upstreamId) == this->tried.end()) {
        this->tried.push_back(upstreamId);
    }
    this->call = this->core.client().send(
            this->target->upstream().address, this->buildRequest(), maxResponseBytes,
            [weak = this->weak_from_this()](HttpResult result) {
                if (const auto request = weak.lock(); request && !request->ended) {
                    request->onResult(std::move(result));
                }
            });
    this->watchCall();
}

// Gives up connections that do not open, and idempotent requests that take far too long.
void GatewayRequest::watchCall()
{
    this->callTimer = this->core.eventLoop().callAfter(callCheck,
                                                       this->callback(&GatewayRequest::checkCall));
}

void GatewayRequest::checkCall()
{
    if (!this->call) {
        return;
    }
    const Milliseconds taken = this->core.eventLoop().now() - this->sentAt;
    if (!this->call->isSent() && taken >= connectTimeout) {
        this->call.reset();
        this->onFailure({ HttpFailure::Stage::Connect, "connect timeout", false });
        return;
    }
    if (this->call->isSent() && this->isWorthRepeating(taken) && this->mayRepeat()) {
        const TimePoint openedAt = this->call->connectionOpenedAt();
        this->call.reset();
        this->mayHaveRun = true;
        this->core.client().closeIdle(this->target->upstream().address,
                                      openedAt + Milliseconds { 1 });
        this->releaseUpstream();
        this->target->noteFailure(this->sentAt, this->core.eventLoop().now());
        this->repeatAfter({}, "no answer");
        return;
    }
    this->watchCall();
}

// Whether the answer of a request that was sent @p taken ago seems to be lost, and another try can
// start at once and end in time.
bool GatewayRequest::isWorthRepeating(Milliseconds taken) const
{
    const Milliseconds typical = this->typicalDuration();
    if (this->route->kind != RouteKind::Safe || this->core.isStopping()
        || !this->target->admission().hasMeasuredDuration()
        || taken < std::max(typical * slowFactor, shortestSlow) || this->timeLeft() <= typical) {
        return false;
    }
    if (this->keyed) {
        return this->target->admission().hasRoom();
    }
    const std::shared_ptr<GatewayUpstream> other = this->core.choose(this->service, this->tried);
    return other && other->admission().hasRoom();
}

void GatewayRequest::onResult(HttpResult result)
{
    this->callTimer = EventLoop::Timer();
    const std::unique_ptr<HttpClient::Call> endedCall = std::move(this->call);
    if (auto *answer = std::get_if<HttpResponse>(&result)) {
        this->onResponse(std::move(*answer));
        return;
    }
    this->onFailure(std::get<HttpFailure>(result));
}

void GatewayRequest::releaseUpstream()
{
    if (!this->occupies) {
        return;
    }
    this->occupies = false;
    this->target->admission().finishWithoutAnswer();
    this->core.startWaiting(*this->target);
}

void GatewayRequest::onResponse(HttpResponse answer)
{
    const ExternalHeaders &names = this->core.externalCodec().headers();
    const bool notExecuted = !HopHeaders::find(answer.headers, names.notExecuted).empty();
    if (notExecuted || answer.status == statusMisdirected) {
        this->onNotExecuted(answer);
        return;
    }
    const TimePoint now = this->core.eventLoop().now();
    const Milliseconds duration = now - this->sentAt;
    this->occupies = false;
    this->target->admission().finish(duration);
    if (answer.status >= statusServerError) {
        this->target->noteError(now);
    } else {
        this->target->recordResponse(
                duration, parseLoad(HopHeaders::find(answer.headers, names.upstreamLoad), now),
                now);
    }
    this->core.startWaiting(*this->target);
    if (answer.status >= statusServerError && this->route->kind == RouteKind::Safe
        && this->timeLeft() > this->typicalDuration() && this->mayRepeat()) {
        this->mayHaveRun = true;
        this->repeatAfter({}, "upstream failed");
        return;
    }
    this->finish(answer.status, HopHeaders::ofResponse(answer.headers), std::move(answer.body),
                 answer.status < statusServerError ? "answered" : "upstream failed");
}

// The upstream refused the request before it ran.
void GatewayRequest::onNotExecuted(const HttpResponse &answer)
{
    const bool misdirected = answer.status == statusMisdirected;
    if (misdirected) {
        this->releaseUpstream();
    } else {
        this->occupies = false;
        this->target->admission().finishShed(this->core.eventLoop().now());
        this->core.startWaiting(*this->target);
    }
    const std::string_view answering
            = HopHeaders::find(answer.headers, this->core.externalCodec().headers().upstreamId);
    if (misdirected && !answering.empty() && answering != this->target->upstream().life.id) {
        // Another upstream has the address now, so this one has ended.
        this->target->markReplaced();
    }
    if (this->timeLeft() <= this->typicalDuration() || !this->mayRepeat()) {
        this->refuse(misdirected ? "owner has changed" : "upstream is full");
        return;
    }
    if (!this->keyed) {
        this->repeatAfter({}, "upstream is full");
    } else if (!misdirected) {
        this->repeatAfter(shedDelay, "upstream is full");
    } else if (this->sends == 1 && !this->target->isReplaced()) {
        this->repeatAfter(misdirectedDelay, "owner has changed");
    } else {
        this->waitForOwner();
    }
}

void GatewayRequest::onFailure(const HttpFailure &failure)
{
    this->callTimer = EventLoop::Timer();
    this->releaseUpstream();
    this->target->noteFailure(this->sentAt, this->core.eventLoop().now());
    const bool notSent = failure.stage == HttpFailure::Stage::Connect
                         || failure.stage == HttpFailure::Stage::Cancelled;
    const bool useful = this->timeLeft() > this->typicalDuration();
    if (notSent) {
        if (useful && this->sends < mostSends) {
            this->repeatAfter(reconnectDelay, "cannot connect to upstream: " + failure.reason);
        } else {
            this->refuse("cannot connect to upstream: " + failure.reason);
        }
        return;
    }
    this->mayHaveRun = true;
    if (this->route->kind == RouteKind::Safe && useful && this->mayRepeat()) {
        this->repeatAfter({}, "connection failed: " + failure.reason);
        return;
    }
    this->fail(statusBadGateway, "outcome unknown: " + failure.reason);
}

// Whether the request may reach an upstream once more; takes it from the budget.
bool GatewayRequest::mayRepeat() const
{
    if (this->sends >= mostSends) {
        return false;
    }
    if (!this->keyed && this->tried.size() >= this->route->attempts) {
        return false;
    }
    return this->core.budget(this->service).take(this->core.eventLoop().now());
}

void GatewayRequest::repeatAfter(Milliseconds delay, const std::string &reason)
{
    this->logEvent("request_repeated", Event::Weight::Important, 0, reason);
    this->waitTimer
            = this->core.eventLoop().callAfter(delay, this->callback(&GatewayRequest::dispatch));
}

void GatewayRequest::onDeadline()
{
    if (this->call && this->call->isSent()) {
        this->target->noteFailure(this->sentAt, this->core.eventLoop().now());
        this->fail(statusGatewayTimeout, "no answer in time");
        return;
    }
    this->refuse("not sent in time");
}

void GatewayRequest::onClientGone()
{
    this->logOutcome(0, "client gone");
    this->end();
    const std::shared_ptr<GatewayRequest> kept = std::move(this->self);
}

void GatewayRequest::onGatewayEnds()
{
    if (this->call && this->call->isSent()) {
        return;
    }
    this->refuse("gateway ends");
}

void GatewayRequest::end()
{
    this->ended = true;
    this->core.removeOpenRequest(this->id);
    this->stopWaiting();
    this->call.reset();
    this->releaseUpstream();
}

// Refuses a request for which there is no room just now.
void GatewayRequest::refuse(const std::string &reason)
{
    this->refuseUntil(std::max(this->typicalDuration(), shortestRetryAfter), reason);
}

// Answers that the request was not run and when the client should come back.
void GatewayRequest::refuseUntil(Milliseconds comeBack, const std::string &reason)
{
    if (this->mayHaveRun || (this->call && this->call->isSent())) {
        this->fail(statusBadGateway, "outcome unknown: " + reason);
        return;
    }
    // Clients wait for a third of the time that they have left at most.
    const Milliseconds clientLeft
            = this->clientTime - (this->core.eventLoop().now() - this->arrived);
    const Milliseconds after
            = std::clamp(comeBack, Milliseconds {}, std::max(clientLeft / 3, Milliseconds {}));
    this->finish(statusUnavailable, { { "retry-after", secondsText(after) } }, {}, reason);
}

void GatewayRequest::fail(int status, const std::string &reason)
{
    this->finish(status, {}, {}, reason);
}

void GatewayRequest::finish(int status, Headers headers, std::string body,
                            const std::string &outcome)
{
    this->end();
    this->logOutcome(status, outcome);
    if (this->route != nullptr) {
        const std::string group = status < statusBadRequest     ? "answered"
                                  : status == statusUnavailable ? "refused"
                                  : status == statusBadGateway || status == statusGatewayTimeout
                                          ? "unknown"
                                          : "failed";
        this->core.countOutcome(this->route->kind, group,
                                this->core.eventLoop().now() - this->arrived, this->queued);
    }
    const std::shared_ptr<GatewayRequest> kept = std::move(this->self);
    if (!this->exchange->isClientGone()) {
        this->exchange->answer(status, std::move(headers), std::move(body));
    }
}

void GatewayRequest::logOutcome(int status, const std::string &outcome)
{
    if (status < statusOk || status >= statusServerError) {
        this->logEvent("request_failed", Event::Weight::Important, status, outcome);
        return;
    }
    const Milliseconds taken = this->core.eventLoop().now() - this->arrived;
    const bool isDelayed = this->ownerWaited.count > 0
                           || (this->route != nullptr && taken > this->route->targetLatency);
    if (isDelayed) {
        this->logEvent("request_delayed", Event::Weight::Important, status, outcome);
        return;
    }
    this->logEvent("request", Event::Weight::Sampled, status, outcome);
}

void GatewayRequest::logEvent(const char *name, Event::Weight weight, int status,
                              const std::string &outcome)
{
    EventLog &log = this->core.events();
    if (!log.hasRoom(name, weight)) {
        return;
    }
    const RoutingView &view = this->core.view();
    const TimePoint now = this->core.eventLoop().now();
    const ExternalHeaders &names = this->core.externalCodec().headers();
    Event event { name, weight, {} };
    event.fields = {
        { "request", std::string(this->exchange->header(names.requestId)) },
        { "outcome", outcome },
        { "status", std::int64_t(status) },
        { "ms", (now - this->arrived).count },
        { "queued_ms", this->queued.count },
        { "owner_wait_ms", this->ownerWaited.count },
        { "left_ms", this->timeLeft().count },
        { "service", this->service },
        { "key", this->key ? std::int64_t(*this->key) : std::int64_t(-1) },
        { "upstream", this->target ? this->target->upstream().life.id : std::string() },
        { "in_flight",
          this->target ? std::int64_t(this->target->admission().inFlight()) : std::int64_t(0) },
        { "sends", std::int64_t(this->sends) },
        { "configuration", std::int64_t(this->active ? this->active->configuration.version : 0) },
        { "table", std::int64_t(view.tableTag) },
        { "table_age_ms", (now - view.tableAt).count },
    };
    log.write(event);
}

} // namespace cassiaroad
