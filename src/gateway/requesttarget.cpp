#include "gateway/requesttarget.h"

#include "request/hopheaders.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr int statusServerError = 500;

// A request waits this long for an owner of its key, or for half of the target latency of its route
// if that is longer, unless its deadline comes first. A planned change of owner takes about half a
// second; replacing an unavailable owner takes longer.
constexpr Milliseconds minOwnerWait { 700 };

} // namespace

RequestTarget::RequestTarget(GatewayCore &core, const ClientRequest &request,
                             const RequestAttempts &attempts)
    : core(core)
    , request(request)
    , attempts(attempts)
{ }

UpstreamSelection RequestTarget::select() const
{
    const HomeRegions regions = this->homes();
    return selectUpstream(this->core, { this->request.service, this->request.key, regions,
                                        this->attempts.chosen(), this->acceptsSuspected });
}

bool RequestTarget::maySend() const
{
    const HomeRegions regions = this->homes();
    return maySendTo(
            this->core, this->target,
            { this->request.service, this->request.key, regions, this->attempts.chosen() });
}

AdmissionDecision RequestTarget::submit(std::shared_ptr<GatewayUpstream> chosen)
{
    this->target = std::move(chosen);
    const AdmissionRequest submitted { this->request.id,
                                       this->request.route->priority,
                                       this->request.responseDeadline,
                                       this->request.defaultDuration(),
                                       this->request.client,
                                       this->request.isReturning };
    const AdmissionDecision decision
            = this->target->admission().submit(submitted, this->core.now());
    this->inFlight = decision == AdmissionDecision::Start;
    return decision;
}

Milliseconds RequestTarget::drawRetryAfter(Milliseconds longest)
{
    return this->target->admission().drawRetryAfter(this->request.route->priority, longest,
                                                    this->core.now(), this->core.randomEngine());
}

void RequestTarget::release()
{
    if (!this->inFlight) {
        return;
    }
    this->inFlight = false;
    this->target->admission().finishWithoutResponse();
    this->core.startWaitingRequests(*this->target);
}

void RequestTarget::recordResponse(const HttpResponse &response, Milliseconds duration)
{
    const TimePoint now = this->core.now();
    this->inFlight = false;
    this->target->admission().finish(duration);
    if (response.status >= statusServerError) {
        this->target->recordError(now);
    } else {
        const std::string_view load = HopHeaders::find(
                response.headers, this->core.externalCodec().headers().upstreamLoad);
        this->target->recordResponse(duration, parseLoad(load, now), now);
    }
    this->core.startWaitingRequests(*this->target);
}

void RequestTarget::recordShed()
{
    this->inFlight = false;
    this->target->admission().finishShed(this->core.now());
    this->recordRefused();
    this->core.startWaitingRequests(*this->target);
}

void RequestTarget::recordRefusedConnection()
{
    const TimePoint now = this->core.now();
    this->inFlight = false;
    this->target->admission().finishShed(now);
    this->target->recordFull(now);
    this->recordRefused();
    this->core.startWaitingRequests(*this->target);
}

// Only requests that a key binds to a full upstream are paced; others go to another one. On sites
// with few gateways, each learns from its own requests in time how full the upstream is.
void RequestTarget::recordRefused()
{
    if (this->request.key && !comparesAllUpstreams(this->core.view().gateways)) {
        this->target->recordRefused(this->core.now());
    }
}

Milliseconds RequestTarget::typicalDuration() const
{
    if (this->target && this->target->admission().hasMeasuredDuration()) {
        return this->target->admission().typicalDuration();
    }
    return this->request.defaultDuration();
}

bool RequestTarget::hasTimeForAttempt(Milliseconds delay) const
{
    return this->request.timeLeft(this->core.now()) > this->typicalDuration() + delay;
}

Milliseconds RequestTarget::maxOwnerWait() const
{
    return std::max(minOwnerWait, this->request.route->targetLatency / 2);
}

bool RequestTarget::canWaitFor(Milliseconds pause) const
{
    const TimePoint now = this->core.now();
    const Milliseconds spareTime = this->request.timeLeft(now) - this->typicalDuration();
    return pause <= spareTime && now - this->request.receivedAt + pause <= this->maxOwnerWait();
}

std::optional<Milliseconds> RequestTarget::longPause() const
{
    if (!this->request.key) {
        return std::nullopt;
    }
    const std::optional<Milliseconds> wait = waitOf(this->core, this->select());
    return wait && !this->canWaitFor(*wait) ? wait : std::nullopt;
}

} // namespace cassiaroad
