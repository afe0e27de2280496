#include "cassiaroad/ownersender.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int conflict = 409;
// Delay before a request is sent again. An owner that has no grant yet gets it with the response to
// its next announcement.
constexpr Milliseconds resendDelay { 20 };

// A request that makes no progress for this many times the typical duration of its upstream's
// requests is taken to be on a silent connection rather than slow.
constexpr std::int64_t stallTimeoutFactor = 4;

} // namespace

OwnerSender::OwnerSender(EventLoop &loop, HttpClient &client, const RouteTableCache &cache,
                         const SenderSettings &settings)
    : loop(loop)
    , cache(cache)
    , settings(settings)
    , dispatcherTable(loop, client)
    , budget(settings.retryPercent)
{ }

OwnerSender::~OwnerSender()
{
    for (const auto &[id, request] : this->requests) {
        request->call.reset();
        request->done = nullptr;
    }
}

void OwnerSender::run(const RequestPtr &request, std::function<void(RequestEnd)> done)
{
    request->done = std::move(done);
    this->requests.emplace(request->id, request);
    this->budget.countRequest();
    this->loadCounter.count({ request->target.service->name, request->target.shard },
                            request->target.key);
    this->route(request);
}

void OwnerSender::route(const RequestPtr &request)
{
    if (!this->cache.hasLease(this->loop.now())) {
        this->waitForOwner(request);
        return;
    }
    const Ownership ownership = Router::ownerOf(request->target, *this->cache.table());
    if (const auto *owner = std::get_if<Owner>(&ownership)) {
        this->dispatch(request, *owner);
    } else {
        this->waitForOwner(request);
    }
}

void OwnerSender::waitForOwner(const RequestPtr &request)
{
    if (this->waitingForOwner >= this->settings.maxWaitingForOwner) {
        this->refuse(request, unavailable, "too many requests wait for an owner");
        return;
    }
    if (!request->waitingSince.has_value()) {
        request->waitingSince = this->loop.now();
    }
    request->currentStage = RequestStage::WaitingForOwner;
    ++this->waitingForOwner;
}

void OwnerSender::dispatch(const RequestPtr &request, const Owner &owner)
{
    const std::shared_ptr<UpstreamDispatcher> upstreamDispatcher
            = this->dispatcherTable.find(owner.upstream);
    if (!upstreamDispatcher) {
        this->waitForOwner(request);
        return;
    }
    request->owner = owner;
    request->upstreamDispatcher = upstreamDispatcher;
    const DispatchDecision decision = upstreamDispatcher->enter(
            request->id, request->priority, request->deadline, this->loop.now());
    if (std::holds_alternative<StartNow>(decision)) {
        this->startAttempt(request);
    } else if (const auto *refused = std::get_if<Refused>(&decision)) {
        this->refuse(request, unavailable, refused->reason);
    } else {
        request->currentStage = RequestStage::Queued;
        if (const auto *displaced = std::get_if<Displaced>(&decision)) {
            const RequestPtr other = this->requests.at(displaced->request);
            this->refuse(other, unavailable, "displaced by a more important request");
        }
    }
}

HttpRequest OwnerSender::upstreamRequest(const EntryRequest &request)
{
    HttpRequest result { request.method, request.path, request.headers,
                         std::string(request.exchange->body()) };
    HopHeaders::addForUpstream(result.headers, request.target, request.owner,
                               request.deadline.timeLeft(this->loop.now()), request.trace,
                               request.trace.spanId + "-" + std::to_string(++this->lastAttempt));
    return result;
}

void OwnerSender::startAttempt(const RequestPtr &request)
{
    request->currentStage = RequestStage::InFlight;
    request->attemptStartedAt = this->loop.now();
    // this->requests keeps the request until its call is destroyed, so the callbacks may use it.
    EntryRequest *raw = request.get();
    request->call = request->upstreamDispatcher->pool().send(
            this->upstreamRequest(*request), this->settings.maxResponseBytes,
            [this, raw](HttpResult result) {
                const RequestPtr stored = this->requests.at(raw->id);
                this->onResult(stored, std::move(result));
            },
            [this, raw] { return this->canWrite(*raw); },
            request->upstreamDispatcher->limit().typicalDuration() * stallTimeoutFactor);
}

// Called in the iteration of the event loop that writes the first byte (design, section 4).
bool OwnerSender::canWrite(EntryRequest &request)
{
    if (!this->cache.hasLease(this->loop.now())) {
        return false;
    }
    const Ownership ownership = Router::ownerOf(request.target, *this->cache.table());
    const auto *owner = std::get_if<Owner>(&ownership);
    if (owner == nullptr || *owner != request.owner) {
        return false;
    }
    request.progress.markWritten();
    request.waitingSince.reset();
    this->drains.start(request.id, request.target, request.owner);
    return true;
}

void OwnerSender::onResult(const RequestPtr &request, HttpResult result)
{
    const std::shared_ptr<UpstreamDispatcher> upstreamDispatcher = request->upstreamDispatcher;
    request->call.reset();
    request->currentStage = RequestStage::None;
    this->drains.finish(request->id);
    if (auto *response = std::get_if<HttpResponse>(&result)) {
        this->onResponse(request, std::move(*response));
    } else {
        upstreamDispatcher->limit().finishWithoutResponse();
        this->onFailure(request, std::get<HttpFailure>(result));
    }
    this->startQueued(upstreamDispatcher);
}

void OwnerSender::onResponse(const RequestPtr &request, HttpResponse response)
{
    if (HopHeaders::find(response.headers, "cassiaroad-outcome") == "not-run") {
        this->onRefusal(request, response);
        return;
    }
    request->upstreamDispatcher->limit().finish(this->loop.now() - request->attemptStartedAt);
    const int status = response.status;
    response.headers = HopHeaders::ofResponse(response.headers);
    this->end(request, { Answered { status }, std::move(response), {} });
}

void OwnerSender::onRefusal(const RequestPtr &request, const HttpResponse &response)
{
    const TimePoint now = this->loop.now();
    request->progress.markRefusedByUpstream();
    if (response.status == conflict) {
        // The owner does not have the grant yet, or has it no longer.
        request->upstreamDispatcher->limit().finishWithoutResponse();
        request->refusedSince = request->refusedSince.value_or(now);
        if (now - *request->refusedSince < this->settings.upstreamDispatcher.queueTimeout) {
            this->scheduleRetry(request);
        } else {
            this->refuse(request, unavailable, "the owner holds no grant for the key");
        }
        return;
    }
    request->upstreamDispatcher->limit().finishShed(now);
    request->upstreamDispatcher->pool().countShed();
    this->retryOrRefuse(request, true, response.status, "the upstream refused the request");
}

void OwnerSender::onFailure(const RequestPtr &request, const HttpFailure &failure)
{
    switch (failure.stage) {
    case HttpFailure::Stage::Cancelled:
        this->route(request);
        return;
    case HttpFailure::Stage::Connect:
    case HttpFailure::Stage::Refused:
        this->retryOrRefuse(request, true, unavailable, "the upstream cannot be reached");
        return;
    case HttpFailure::Stage::Sent:
    case HttpFailure::Stage::ResponseTruncated:
        request->progress.markResponseLost();
        this->retryOrRefuse(request, request->idempotent, badGateway, failure.reason);
        return;
    }
}

void OwnerSender::retryOrRefuse(const RequestPtr &request, bool allowed, int status,
                                const std::string &reason)
{
    if (allowed && request->deadline.hasTimeFor(resendDelay, this->loop.now())
        && this->budget.take()) {
        ++this->retries;
        this->scheduleRetry(request);
        return;
    }
    this->refuse(request, status, reason);
}

void OwnerSender::scheduleRetry(const RequestPtr &request)
{
    request->retryAt = this->loop.now() + resendDelay;
    request->currentStage = RequestStage::Delayed;
}

// Takes a request out of its stage: it waits no longer, or its call is cancelled.
void OwnerSender::leaveStage(EntryRequest &request)
{
    if (request.currentStage == RequestStage::WaitingForOwner) {
        --this->waitingForOwner;
    } else if (request.currentStage == RequestStage::Queued) {
        request.upstreamDispatcher->remove(request.id);
    } else if (request.currentStage == RequestStage::InFlight) {
        request.call.reset();
        request.upstreamDispatcher->limit().finishWithoutResponse();
        this->drains.finish(request.id);
    }
    request.currentStage = RequestStage::None;
}

// Ends a request as refused, or as unknown if an upstream may have run it.
void OwnerSender::refuse(const RequestPtr &request, int status, const std::string &reason)
{
    this->end(request, { request->progress.refuse(status, reason), {}, {} });
}

void OwnerSender::end(const RequestPtr &request, RequestEnd end)
{
    this->leaveStage(*request);
    // The node keeps the request alive: @p request may refer to the entry of the map.
    const auto node = this->requests.extract(request->id);
    const auto done = std::exchange(request->done, nullptr);
    done(std::move(end));
}

void OwnerSender::stop(const RequestPtr &request, int status, const std::string &reason)
{
    if (!this->requests.contains(request->id)) {
        return;
    }
    const std::shared_ptr<UpstreamDispatcher> upstreamDispatcher = request->upstreamDispatcher;
    this->refuse(request, status, reason);
    if (upstreamDispatcher) {
        this->startQueued(upstreamDispatcher);
    }
}

// Starts queued requests as long as the concurrency limit of their upstream allows it.
void OwnerSender::startQueued(const std::shared_ptr<UpstreamDispatcher> &upstreamDispatcher)
{
    while (const std::optional<RequestId> next = upstreamDispatcher->takeStartable()) {
        this->startAttempt(this->requests.at(*next));
    }
}

} // namespace cassiaroad
