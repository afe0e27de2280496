#include "gateway/gatewayrequest.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

constexpr int statusGatewayTimeout = 504;
constexpr Milliseconds minRetryAfter { 50 };
// How long a blocked request waits for the decision of the leader whether it may be tried. The
// leader of a large site tells its gateways of changes less often.
constexpr Milliseconds maxTrialWait { 1000 };

} // namespace

/** Goes on with a request as the selection of its upstream demands. */
struct GatewayRequest::SelectionVisitor
{
    GatewayRequest &request;

    void operator()(const SelectedUpstream &selected) const
    {
        this->request.submit(selected.upstream);
    }
    void operator()(const PausedUpstream &paused) const
    {
        this->request.waitForPause(paused.timeLeft, PausedUpstream::reason);
    }
    void operator()(const PacedUpstream &paced) const
    {
        const TimePoint now = this->request.core.now();
        UpstreamPace &pace = paced.upstream->pace();
        this->request.core.countPaced(*paced.upstream);
        const Milliseconds wait = pace.turnAway(now);
        const std::string reason = PacedUpstream::reason;
        if (pace.isShared(now)) {
            this->request.refuseWithRetryAfter(wait, reason);
        } else {
            this->request.waitForPause(wait, reason);
        }
    }
    void operator()(const ColdUpstream &cold) const { this->request.waitForPermit(*cold.upstream); }
    void operator()(const KeyWithoutOwner & /*none*/) const { this->request.waitForOwner(); }
    void operator()(const ServiceEvacuated & /*service*/) const
    {
        this->request.refuseWithRetryAfter(outageRetryAfter, ServiceEvacuated::reason);
    }
    void operator()(const NoUpstreamAtHome & /*none*/) const
    {
        this->request.refuseWithRetryAfter(outageRetryAfter, NoUpstreamAtHome::reason);
    }
    void operator()(const SuspectedOwner & /*owner*/) const
    {
        this->request.refuseWithRetryAfter(this->request.core.ownerReplacementDelay(),
                                           SuspectedOwner::reason);
    }
    void operator()(const NoRoutingTable & /*none*/) const
    {
        this->request.refuseWithRetryAfter(outageRetryAfter, NoRoutingTable::reason);
    }
    void operator()(const NoUpstream & /*none*/) const
    {
        this->request.refuseWithRetryAfter(outageRetryAfter, NoUpstream::reason);
    }
};

/** Goes on with a request as the result of an attempt demands. */
struct GatewayRequest::AttemptVisitor
{
    GatewayRequest &request;

    void operator()(ForwardResponse &forward) const
    {
        this->request.finish(forwardedAnswer(std::move(forward.response), forward.outcome));
    }
    void operator()(const RepeatRequest &repeat) const
    {
        this->request.repeatAfter(repeat.delay, repeat.reason);
    }
    void operator()(const SelectAgain & /*none*/) const { this->request.dispatch(); }
    void operator()(const AwaitOwner & /*none*/) const { this->request.waitForOwner(); }
    void operator()(const RefuseRequest &refusal) const
    {
        if (refusal.retryAfter) {
            this->request.refuseWithRetryAfter(*refusal.retryAfter, refusal.reason);
        } else {
            this->request.refuse(refusal.reason);
        }
    }
    void operator()(const RefuseForCapacity &refusal) const
    {
        this->request.refuseForCapacity(refusal.reason);
    }
    void operator()(const OutcomeUnknown &unknown) const
    {
        this->request.finish(unknownOutcome(unknown.reason));
    }
};

void GatewayRequest::begin(GatewayCore &core, std::shared_ptr<HttpExchange> exchange)
{
    const WorkMeter::Scope scope(core.eventLoop().workMeter(), Work::Requests);
    const auto request = std::make_shared<GatewayRequest>(core, std::move(exchange));
    request->self = request;
    request->sender.observe(request);
    request->start();
}

GatewayRequest::GatewayRequest(GatewayCore &core, std::shared_ptr<HttpExchange> exchange)
    : core(core)
    , request(receivedRequest(core, std::move(exchange)))
    , target(core, this->request, this->attempts)
    , results(core, this->request, this->attempts, this->target)
    , sender(core, this->request, this->attempts)
    , wait(core, this->request.id)
{ }

// Returns a function that calls @p step unless the request has ended.
std::function<void()> GatewayRequest::callback(Step step)
{
    return [weak = this->weak_from_this(), step] {
        if (const auto request = weak.lock(); request && !request->ended) {
            (*request.*step)();
        }
    };
}

void GatewayRequest::start()
{
    if (const std::optional<RoutingRejection> rejection = routeRequest(this->core, this->request)) {
        this->finish(rejection->retryAfter ? refusalOf(this->request, *rejection->retryAfter,
                                                       rejection->reason, this->core.now())
                                           : plainAnswer(rejection->status, rejection->reason));
        return;
    }
    if (!this->request.exchange->reserveResponse()) {
        this->refuseWithRetryAfter(outageRetryAfter, "no memory for the answer");
        return;
    }
    this->core.countRequest(this->request.service, this->request.route->homes, this->request.key);
    if (this->request.isReturning) {
        this->core.countReturning(this->request.service);
    }
    this->core.addOpenRequest(this->request.id, [weak = this->weak_from_this()](StopStage stage) {
        if (const auto request = weak.lock(); request && !request->ended) {
            request->onStop(stage);
        }
    });
    this->request.exchange->onClientGone(this->callback(&GatewayRequest::onClientGone));
    this->deadlineTimer = this->core.eventLoop().callAfter(
            this->timeLeft(), this->callback(&GatewayRequest::onDeadline));
    // The body may have arrived too late.
    if (this->timeLeft() == Milliseconds {}) {
        this->onDeadline();
        return;
    }
    this->dispatch();
}

// Selects an upstream and submits the request to it; also for each repetition and changed table.
void GatewayRequest::dispatch()
{
    this->wait.stop();
    this->target.clear();
    if (this->isBlocked() && !this->takeTrial()) {
        this->onBlocked();
        return;
    }
    std::visit(SelectionVisitor { *this }, this->target.select());
}

// Waits until an upstream may be used again that has asked for a pause or is paced. Refuses the
// request if that takes too long.
void GatewayRequest::waitForPause(Milliseconds pause, const std::string &reason)
{
    if (!this->target.canWaitFor(pause)) {
        this->refuseWithRetryAfter(pause, reason);
        return;
    }
    // Another upstream may own the key before the pause ends.
    this->wait.waitForTable(pause, this->callback(&GatewayRequest::dispatch),
                            this->callback(&GatewayRequest::dispatch));
}

// Asks the leader for a permit and waits for its decision. If the leader has lately told a time to
// another request, this one waits until then, once.
void GatewayRequest::waitForPermit(const GatewayUpstream &upstream)
{
    this->core.countPaced(upstream);
    const bool mayWait = !std::exchange(this->hasWaitedForPermit, true);
    if (const std::optional<PermitRefusal> refusal = this->core.coldAdmission().ask(upstream)) {
        if (mayWait && refusal->isPromising && this->target.canWaitFor(refusal->retryAfter)) {
            this->wait.waitFor(refusal->retryAfter, this->callback(&GatewayRequest::dispatch));
        } else {
            this->refuseWithRetryAfter(refusal->retryAfter, ColdUpstream::reason);
        }
        return;
    }
    const Milliseconds spareTime = this->timeLeft() - this->target.typicalDuration();
    this->wait.waitForPermit(upstream, std::max(spareTime, Milliseconds {}),
                             this->callback(&GatewayRequest::dispatch),
                             this->callback(&GatewayRequest::onPermitTimeout));
}

void GatewayRequest::onPermitTimeout()
{
    this->wait.stop();
    this->refuse(ColdUpstream::reason);
}

// Waits until the routing table changes; refuses the request if that takes too long.
void GatewayRequest::waitForOwner()
{
    const Milliseconds spareTime = this->timeLeft() - this->target.typicalDuration();
    const Milliseconds maxWait = std::min(
            this->request.receivedAt + this->target.maxOwnerWait() - this->core.now(), spareTime);
    if (maxWait <= Milliseconds {}) {
        this->refuseWithRetryAfter(this->core.ownerReplacementDelay(), KeyWithoutOwner::reason);
        return;
    }
    this->wait.waitForTable(maxWait, this->callback(&GatewayRequest::dispatch),
                            this->callback(&GatewayRequest::onOwnerTimeout));
}

void GatewayRequest::onOwnerTimeout()
{
    this->wait.stop();
    this->refuseWithRetryAfter(this->core.ownerReplacementDelay(), KeyWithoutOwner::reason);
}

// Sends the request to an upstream, or lets it wait for capacity there, or refuses it.
void GatewayRequest::submit(std::shared_ptr<GatewayUpstream> chosen)
{
    switch (this->target.submit(std::move(chosen))) {
    case AdmissionDecision::Start:
        this->send();
        return;
    case AdmissionDecision::Refuse:
        this->refuseForCapacity("upstream is busy");
        return;
    case AdmissionDecision::Wait:
        this->waitForCapacity();
        return;
    }
}

void GatewayRequest::waitForCapacity()
{
    const Milliseconds spareTime = this->timeLeft() - this->target.typicalDuration() * 3 / 4;
    this->wait.waitForCapacity(this->target.upstream(), std::max(spareTime, Milliseconds {}),
                               { this->callback(&GatewayRequest::startFromQueue),
                                 this->callback(&GatewayRequest::dispatch),
                                 this->callback(&GatewayRequest::onLate) },
                               this->callback(&GatewayRequest::onCapacityTimeout));
    this->core.refuseLateRequests(*this->target.upstream());
}

void GatewayRequest::onCapacityTimeout()
{
    this->wait.stop();
    this->core.countQueueRefusal(this->request.service);
    this->refuseForCapacity("waited too long");
}

// Called when no time is left for the request behind those that go first at the target.
void GatewayRequest::onLate()
{
    this->core.countQueueRefusal(this->request.service);
    this->refuseForCapacity("no time left in the queue");
}

// Called when the target has capacity for the waiting request, which counts as in flight.
void GatewayRequest::startFromQueue()
{
    const bool mayStart = this->core.mayStart(*this->target.upstream());
    if (!mayStart || this->isBlocked() || !this->target.maySend()) {
        this->target.declineStart();
        this->dispatch();
        return;
    }
    this->target.markInFlight();
    this->send();
}

void GatewayRequest::send()
{
    this->results.begin(this->core.now());
    GatewayUpstream &upstream = *this->target.upstream();
    this->permitUntil = this->core.coldAdmission().take(upstream);
    this->limitAtStart
            = this->permitUntil ? "cold" : limitName(upstream.pace().limit(this->core.now()));
    upstream.pace().take(this->core.now());
    this->sender.send(this->target.upstream());
}

// Whether the request, which has waited for capacity of its target or a connection, can still be
// sent there.
WriteDecision GatewayRequest::decideWrite(const ConnectionState &connection)
{
    if (this->isBlocked() || !this->target.maySend()) {
        return WriteDecision::CloseConnection;
    }
    return this->core.decideWrite(*this->target.upstream(), this->permitUntil, connection);
}

void GatewayRequest::onEvacuated()
{
    this->target.release();
    this->dispatch();
}

void GatewayRequest::continueWith(AfterAttempt next)
{
    std::visit(AttemptVisitor { *this }, next);
}

void GatewayRequest::repeatAfter(Milliseconds delay, const std::string &reason)
{
    logRequestRepeated(this->core.events(), this->facts(reason));
    this->wait.waitFor(delay, this->callback(&GatewayRequest::dispatch));
}

void GatewayRequest::onSlowResult(HttpResult result)
{
    auto *response = std::get_if<HttpResponse>(&result);
    if (response != nullptr && !this->results.isNotExecuted(*response)) {
        this->results.recordAnswered();
        this->finish(forwardedAnswer(std::move(*response), "answered"));
        return;
    }
    if (this->isRepetitionGivenUp) {
        this->finish(unknownOutcome("the slow attempt has failed"));
    }
}

// The request cannot be repeated, so the response of the slow attempt is the only one to come.
void GatewayRequest::waitForSlowCall()
{
    this->wait.stop();
    this->isRepetitionGivenUp = true;
}

// Whether upstreams have crashed under requests like this one, so that it must not be sent.
bool GatewayRequest::isBlocked() const
{
    return !this->isTrial && this->core.crashGuard().ledger().isBlocked(this->request.digest);
}

// Takes the trial that the leader has granted, if there is one: then this request is sent once.
bool GatewayRequest::takeTrial()
{
    this->isTrial = this->core.crashGuard().trials().take(this->request.digest);
    if (this->isTrial) {
        this->core.events().write(
                { "request_tried",
                  Event::Weight::Important,
                  { { "request", std::string(this->request.exchange->header(
                                         this->core.externalCodec().headers().requestId)) },
                    { "digest", std::to_string(this->request.digest) },
                    { "trials", std::int64_t(this->core.crashGuard()
                                                     .ledger()
                                                     .trialsOf(this->request.digest)
                                                     .count) } } });
    }
    return this->isTrial;
}

void GatewayRequest::onBlocked()
{
    if (!this->awaitsTrial()) {
        this->refuseBlocked();
        return;
    }
    this->wait.waitForTable(*this->trialDeadline - this->core.now(),
                            this->callback(&GatewayRequest::dispatch),
                            this->callback(&GatewayRequest::refuseBlocked));
}

// Whether the leader may still decide that this request is tried. Asks it, if a trial is due and an
// upstream could take the request.
bool GatewayRequest::awaitsTrial()
{
    CrashGuard &guard = this->core.crashGuard();
    const TimePoint now = this->core.now();
    if (this->trialDeadline) {
        return guard.trials().isAsked(this->request.digest) && now < *this->trialDeadline;
    }
    if (!std::holds_alternative<SelectedUpstream>(this->target.select())
        || !guard.trials().ask(this->request.digest, guard.ledger(), now)) {
        return false;
    }
    this->trialDeadline = now + std::min(maxTrialWait, this->timeLeft());
    this->core.reportSoon();
    return true;
}

// The client need not come back before the next trial, or at all while the request is blocked.
void GatewayRequest::refuseBlocked()
{
    const TimePoint now = this->core.now();
    const CrashLedger &ledger = this->core.crashGuard().ledger();
    const std::string reason = "upstreams have crashed under this request";
    if (const std::optional<Milliseconds> trial = ledger.trialDueIn(this->request.digest, now)) {
        this->refuseWithRetryAfter(std::max(*trial, outageRetryAfter), reason);
        return;
    }
    this->refuseUnlessRun(reason,
                          refusalOfBlocked(ledger.blockedFor(this->request.digest, now), reason));
}

void GatewayRequest::onDeadline()
{
    if (this->sender.isSent()) {
        if (this->sender.hasAttempt()) {
            this->results.recordLate();
        }
        this->finish(plainAnswer(statusGatewayTimeout, "no answer in time"));
        return;
    }
    this->refuse("not sent in time");
}

void GatewayRequest::onClientGone()
{
    logRequestEnd(this->core.events(), this->facts("client gone"));
    this->end();
    const std::shared_ptr<GatewayRequest> keepAlive = std::move(this->self);
}

// Until the last stage, a request that was sent may still get the response of its upstream. Then it
// gets one that tells that its outcome is unknown.
void GatewayRequest::onStop(StopStage stage)
{
    if (stage == StopStage::Refuse && this->sender.isSent()) {
        return;
    }
    this->sender.cancelSlow();
    this->refuse("gateway ends");
}

// Cancels whatever is in progress. The caller reports the outcome.
void GatewayRequest::end()
{
    this->ended = true;
    if (this->isTrial && !this->mayHaveRun()) {
        CrashGuard &guard = this->core.crashGuard();
        guard.trials().giveBack(this->request.digest, guard.ledger());
    }
    this->core.removeOpenRequest(this->request.id);
    this->wait.stop();
    this->sender.stop();
    this->target.release();
}

// Refuses the request; the client may retry after the typical duration of a request.
void GatewayRequest::refuse(const std::string &reason)
{
    this->refuseWithRetryAfter(std::max(this->target.typicalDuration(), minRetryAfter), reason);
}

// Responds that the request was not run, and after which time the client may retry.
void GatewayRequest::refuseWithRetryAfter(Milliseconds retryAfter, const std::string &reason)
{
    this->refuseUnlessRun(reason, refusalOf(this->request, retryAfter, reason, this->core.now()));
}

// Refuses the request since its target has no capacity for it. It goes before new requests when it
// is retried.
void GatewayRequest::refuseForCapacity(const std::string &reason)
{
    const TimePoint now = this->core.now();
    const Milliseconds retryAfter = this->target.drawRetryAfter(this->request.maxRetryAfter(now));
    if (!this->mayHaveRun()) {
        this->core.refusedRequests().recordRefusal(this->request.client, this->request.digest,
                                                   retryAfter, now);
    }
    this->refuseUnlessRun(reason, refusalOf(this->request, retryAfter, reason, now));
}

// Refuses the request, or responds that its outcome is unknown if it may have run.
void GatewayRequest::refuseUnlessRun(const std::string &reason, RequestAnswer refusal)
{
    if (this->sender.hasSlowAttempt()) {
        this->waitForSlowCall();
        return;
    }
    this->finish(this->mayHaveRun() ? unknownOutcome(reason) : std::move(refusal));
}

// Ends the request, records its outcome and responds to the client.
void GatewayRequest::finish(RequestAnswer answer)
{
    this->end();
    const std::shared_ptr<GatewayRequest> keepAlive = std::move(this->self);
    deliverAnswer(this->core, this->request, std::move(answer), this->facts({}));
}

RequestFacts GatewayRequest::facts(const std::string &outcome) const
{
    RequestFacts told = factsOf(this->core, this->request);
    told.outcome = outcome;
    told.queuedDuration = this->wait.queuedDuration();
    told.ownerWaitDuration = this->wait.tableDuration();
    told.target = this->target.upstream().get();
    told.limit = this->limitAtStart;
    told.attempts = this->attempts.count();
    told.isSent = this->sender.isSent();
    return told;
}

} // namespace cassiaroad
