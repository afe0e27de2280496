#include "gateway/attemptsender.h"

#include "request/hopheaders.h"

#include <utility>

namespace cassiaroad {

namespace {

constexpr std::size_t maxResponseBytes = std::size_t(64) * 1024 * 1024;
constexpr Milliseconds checkInterval { 50 };

} // namespace

AttemptSender::AttemptSender(GatewayCore &core, const ClientRequest &request,
                             RequestAttempts &attempts)
    : core(core)
    , request(request)
    , attempts(attempts)
{ }

HttpRequest AttemptSender::buildRequest() const
{
    const ExternalHeaders &names = this->core.externalCodec().headers();
    const std::shared_ptr<HttpExchange> &exchange = this->request.exchange;
    HttpRequest built;
    built.method = exchange->method();
    built.path = exchange->path();
    // The exchange has the bytes until it is answered or its client is gone; stop() destroys the
    // calls before that.
    built.body = { exchange, exchange->body() };
    built.identityHeader = names.requestId;
    built.requiresIdentity = true;
    built.refusalHeader = names.notExecuted;
    built.refusalValue.clear();
    built.confirmsConnection = true;
    built.probe = this->core.probeOf(*this->target);
    built.headers = HopHeaders::endToEnd(exchange->headers()).value_or(Headers {});
    std::erase_if(built.headers, [&](const auto &header) {
        return header.first == names.deadline || header.first == names.expectedUpstream;
    });
    built.headers.emplace_back("host", exchange->header("host"));
    built.deadline = { names.deadline, this->request.responseDeadline };
    built.headers.emplace_back(names.expectedUpstream, this->target->upstream().incarnation.id);
    return built;
}

void AttemptSender::send(const std::shared_ptr<GatewayUpstream> &upstream)
{
    this->target = upstream;
    const std::uint32_t number = this->attempts.begin(upstream->upstream().incarnation.id);
    this->beganAt = this->core.now();
    this->call = this->core.client().send(
            upstream->upstream().address, this->buildRequest(), maxResponseBytes,
            [this, weak = this->observer, number, upstream](HttpResult result) {
                const auto owner = weak.lock();
                if (owner && !this->stopped) {
                    this->onCallResult(number, upstream, std::move(result));
                }
            },
            [this](const ConnectionState &connection) { return this->decideWrite(connection); });
    this->scheduleCheck();
}

// Called when the first byte of an attempt is about to be written.
WriteDecision AttemptSender::decideWrite(const ConnectionState &connection)
{
    const auto owner = this->observer.lock();
    const WriteDecision decision
            = owner ? owner->decideWrite(connection) : WriteDecision::CloseConnection;
    if (decision != WriteDecision::Write) {
        return decision;
    }
    this->slowCall.reset();
    if (connection.openedAt >= this->beganAt) {
        // A probe takes part of the time that a connection may take.
        this->core.connectMonitor().recordOpened(
                this->beganAt, connection.warmAt ? this->core.now() : connection.openedAt);
    }
    this->attempts.recordWritten(this->target->upstream().incarnation.id);
    return WriteDecision::Write;
}

void AttemptSender::onCallResult(std::uint32_t attempt,
                                 const std::shared_ptr<GatewayUpstream> &upstream,
                                 HttpResult result)
{
    const WorkMeter::Scope scope(this->core.eventLoop().workMeter(), Work::Requests);
    const std::shared_ptr<Observer> owner = this->observer.lock();
    if (const auto *response = std::get_if<HttpResponse>(&result)) {
        owner->onNotice(upstream, *response);
    }
    if (this->slowCall && attempt == this->slowAttempt) {
        const std::unique_ptr<HttpClient::Call> endedCall = std::move(this->slowCall);
        owner->onSlowResult(std::move(result));
        return;
    }
    this->checkTimer = EventLoop::Timer();
    const std::unique_ptr<HttpClient::Call> endedCall = std::move(this->call);
    owner->onResult(std::move(result));
}

void AttemptSender::scheduleCheck()
{
    this->checkTimer
            = this->core.eventLoop().callAfter(checkInterval, [this, weak = this->observer] {
                  if (const auto owner = weak.lock(); owner && !this->stopped) {
                      this->check();
                  }
              });
}

// Cancels a call whose connection does not open in time, and has a slow one repeated.
void AttemptSender::check()
{
    if (!this->call) {
        return;
    }
    const std::shared_ptr<Observer> owner = this->observer.lock();
    const Milliseconds elapsed = this->core.now() - this->beganAt;
    if (this->call->isSent()) {
        if (owner->isTooSlow(elapsed)) {
            this->keepAsSlow();
            owner->onSlowAttempt();
            return;
        }
    } else if (this->target->isEvacuated()) {
        this->call.reset();
        owner->onEvacuated();
        return;
    } else if (elapsed >= this->core.connectMonitor().timeout()) {
        this->call.reset();
        owner->onConnectTimeout();
        return;
    }
    this->scheduleCheck();
}

void AttemptSender::keepAsSlow()
{
    const TimePoint openedAt = this->call->connectionOpenedAt();
    this->slowCall = std::move(this->call);
    this->slowAttempt = this->attempts.count();
    this->core.client().closeIdle(this->target->upstream().address, openedAt + Milliseconds { 1 });
}

void AttemptSender::stop()
{
    this->wasSent = this->isSent();
    this->stopped = true;
    this->checkTimer = EventLoop::Timer();
    this->call.reset();
    this->slowCall.reset();
}

bool AttemptSender::isSent() const
{
    if (this->stopped) {
        return this->wasSent;
    }
    return this->slowCall || (this->call && this->call->isSent());
}

} // namespace cassiaroad
