#include "cassiaroad/ownersender.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int conflict = 409;
// Pause before a request is sent again. An owner that has no grant yet gets it with the answer to
// its next announcement.
constexpr Milliseconds resendPause { 20 };

// A request without progress for this many times the typical duration of its upstream is on a
// silent connection rather than slow.
constexpr std::int64_t slowFactor = 4;

} // namespace

OwnerSender::OwnerSender(EventLoop &loop, HttpClient &client, const RouteTableCache &follower,
                         const SenderSettings &settings)
    : loop(loop)
    , follower(follower)
    , settings(settings)
    , gateTable(loop, client)
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
    if (!this->follower.hasLease(this->loop.now())) {
        this->hold(request);
        return;
    }
    const Ownership ownership = Router::ownerOf(request->target, *this->follower.table());
    if (const auto *owner = std::get_if<Owner>(&ownership)) {
        this->enterGate(request, *owner);
    } else {
        this->hold(request);
    }
}

void OwnerSender::hold(const RequestPtr &request)
{
    if (this->held >= this->settings.maxHeld) {
        this->refuse(request, unavailable, "too many requests wait for an owner");
        return;
    }
    if (!request->heldSince.has_value()) {
        request->heldSince = this->loop.now();
    }
    request->place = RequestPlace::Held;
    ++this->held;
}

void OwnerSender::enterGate(const RequestPtr &request, const Owner &owner)
{
    const std::shared_ptr<UpstreamGate> gate = this->gateTable.find(owner.upstream);
    if (!gate) {
        this->hold(request);
        return;
    }
    request->owner = owner;
    request->gate = gate;
    const GateDecision decision
            = gate->enter(request->id, request->priority, request->deadline, this->loop.now());
    if (std::holds_alternative<StartNow>(decision)) {
        this->launch(request);
    } else if (const auto *refused = std::get_if<Refused>(&decision)) {
        this->refuse(request, unavailable, refused->reason);
    } else {
        request->place = RequestPlace::Queued;
        if (const auto *displaced = std::get_if<Displaced>(&decision)) {
            const RequestPtr other = this->requests.at(displaced->displaced);
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

void OwnerSender::launch(const RequestPtr &request)
{
    request->place = RequestPlace::InFlight;
    request->launchedAt = this->loop.now();
    // The sender keeps the request until the call is gone, so the callbacks may use it.
    EntryRequest *raw = request.get();
    request->call = request->gate->pool().send(
            this->upstreamRequest(*request), this->settings.maxResponseBytes,
            [this, raw](HttpResult result) {
                const RequestPtr kept = this->requests.at(raw->id);
                this->onResult(kept, std::move(result));
            },
            [this, raw] { return this->canWrite(*raw); },
            request->gate->limit().typicalDuration() * slowFactor);
}

// Runs in the loop turn in which the first byte is written (design, section 4).
bool OwnerSender::canWrite(EntryRequest &request)
{
    if (!this->follower.hasLease(this->loop.now())) {
        return false;
    }
    const Ownership ownership = Router::ownerOf(request.target, *this->follower.table());
    const auto *owner = std::get_if<Owner>(&ownership);
    if (owner == nullptr || *owner != request.owner) {
        return false;
    }
    request.progress.markWritten();
    request.heldSince.reset();
    this->drains.start(request.id, request.target, request.owner);
    return true;
}

void OwnerSender::onResult(const RequestPtr &request, HttpResult result)
{
    const std::shared_ptr<UpstreamGate> gate = request->gate;
    request->call.reset();
    request->place = RequestPlace::Nowhere;
    this->drains.finish(request->id);
    if (auto *answer = std::get_if<HttpResponse>(&result)) {
        this->onResponse(request, std::move(*answer));
    } else {
        gate->limit().finishWithoutResponse();
        this->onFailure(request, std::get<HttpFailure>(result));
    }
    this->pump(gate);
}

void OwnerSender::onResponse(const RequestPtr &request, HttpResponse answer)
{
    if (HopHeaders::find(answer.headers, "cassiaroad-outcome") == "not-run") {
        this->onRefusal(request, answer);
        return;
    }
    request->gate->limit().finish(this->loop.now() - request->launchedAt);
    const int status = answer.status;
    answer.headers = HopHeaders::ofResponse(answer.headers);
    this->end(request, { Answered { status }, std::move(answer), {} });
}

void OwnerSender::onRefusal(const RequestPtr &request, const HttpResponse &answer)
{
    const TimePoint now = this->loop.now();
    request->progress.markRefusedByUpstream();
    if (answer.status == conflict) {
        // The owner does not hold the grant yet, or no longer.
        request->gate->limit().finishWithoutResponse();
        request->refusedSince = request->refusedSince.value_or(now);
        if (now - *request->refusedSince < this->settings.gate.queueTimeout) {
            this->delay(request);
        } else {
            this->refuse(request, unavailable, "the owner holds no grant for the key");
        }
        return;
    }
    request->gate->limit().finishShed(now);
    request->gate->pool().countShed();
    this->sendAgainOrEnd(request, true, answer.status, "the upstream refused the request");
}

void OwnerSender::onFailure(const RequestPtr &request, const HttpFailure &failure)
{
    switch (failure.stage) {
    case HttpFailure::Stage::Cancelled:
        this->route(request);
        return;
    case HttpFailure::Stage::Connect:
        this->sendAgainOrEnd(request, true, unavailable, "the upstream cannot be reached");
        return;
    case HttpFailure::Stage::Sent:
    case HttpFailure::Stage::ResponseTruncated:
        request->progress.markResponseLost();
        this->sendAgainOrEnd(request, request->idempotent, badGateway, failure.reason);
        return;
    }
}

void OwnerSender::sendAgainOrEnd(const RequestPtr &request, bool allowed, int status,
                                 const std::string &reason)
{
    if (allowed && request->deadline.hasTimeFor(resendPause, this->loop.now())
        && this->budget.take()) {
        ++this->retries;
        this->delay(request);
        return;
    }
    this->refuse(request, status, reason);
}

void OwnerSender::delay(const RequestPtr &request)
{
    request->retryAt = this->loop.now() + resendPause;
    request->place = RequestPlace::Delayed;
}

void OwnerSender::leavePlace(EntryRequest &request)
{
    if (request.place == RequestPlace::Held) {
        --this->held;
    } else if (request.place == RequestPlace::Queued) {
        request.gate->remove(request.id);
    } else if (request.place == RequestPlace::InFlight) {
        request.call.reset();
        request.gate->limit().finishWithoutResponse();
        this->drains.finish(request.id);
    }
    request.place = RequestPlace::Nowhere;
}

void OwnerSender::refuse(const RequestPtr &request, int status, const std::string &reason)
{
    this->end(request, { request->progress.refuse(status, reason), {}, {} });
}

void OwnerSender::end(const RequestPtr &request, RequestEnd end)
{
    this->leavePlace(*request);
    // Keeps the request, which the caller may have taken from the map, until the end.
    const auto node = this->requests.extract(request->id);
    const auto done = std::exchange(request->done, nullptr);
    done(std::move(end));
}

void OwnerSender::stop(const RequestPtr &request, int status, const std::string &reason)
{
    if (!this->requests.contains(request->id)) {
        return;
    }
    const std::shared_ptr<UpstreamGate> gate = request->gate;
    this->refuse(request, status, reason);
    if (gate) {
        this->pump(gate);
    }
}

void OwnerSender::pump(const std::shared_ptr<UpstreamGate> &gate)
{
    while (const std::optional<RequestId> next = gate->takeStartable()) {
        this->launch(this->requests.at(*next));
    }
}

} // namespace cassiaroad
