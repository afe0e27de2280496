#include "gateway/attemptresult.h"

#include "connection/refusalstatus.h"
#include "gateway/requestdigest.h"
#include "request/hopheaders.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

constexpr int statusServerError = 500;

// Delay before a request is repeated that the upstream refused as sent to the wrong owner (421). A
// new owner may receive its keys some milliseconds after the gateway has received the routing
// table.
constexpr Milliseconds misdirectedRetryDelay { 60 };
// Delay before a keyed request is repeated that its owner refused because it was full.
constexpr Milliseconds shedRetryDelay { 25 };
constexpr Milliseconds reconnectDelay { 20 };
// An idempotent request is sent again after this many times the typical duration of the upstream's
// requests, and after `minSlowDuration` at the earliest.
constexpr std::int64_t slowFactor = 6;
constexpr Milliseconds minSlowDuration { 600 };

} // namespace

AttemptResult::AttemptResult(GatewayCore &core, const ClientRequest &request,
                             RequestAttempts &attempts, RequestTarget &target)
    : core(core)
    , request(request)
    , attempts(attempts)
    , target(target)
{ }

void AttemptResult::begin(TimePoint now)
{
    this->beganAt = now;
    this->hasRecordedFailure = false;
}

AfterAttempt AttemptResult::onResult(HttpResult result)
{
    if (auto *response = std::get_if<HttpResponse>(&result)) {
        return this->onResponse(std::move(*response));
    }
    return this->onFailure(std::get<HttpFailure>(result));
}

// A response that names another upstream tells nothing of this one.
void AttemptResult::recordNotice(const std::shared_ptr<GatewayUpstream> &upstream,
                                 const HttpResponse &response)
{
    const ExternalHeaders &names = this->core.externalCodec().headers();
    const std::string_view responder = HopHeaders::find(response.headers, names.upstreamId);
    if (responder.empty() || responder == upstream->upstream().incarnation.id) {
        this->core.recordNotice(upstream, readNotice(response, names));
    }
}

bool AttemptResult::isNotExecuted(const HttpResponse &response) const
{
    const ExternalHeaders &names = this->core.externalCodec().headers();
    return response.status == statusMisdirected
           || !HopHeaders::find(response.headers, names.notExecuted).empty();
}

void AttemptResult::recordAnswered()
{
    this->core.crashGuard().recordAnswered(this->request.digest, this->core.now());
}

AfterAttempt AttemptResult::onResponse(HttpResponse response)
{
    if (this->isNotExecuted(response)) {
        // Without an id, the refusal may have been sent to an earlier request.
        const std::string &idHeader = this->core.externalCodec().headers().requestId;
        if (HopHeaders::find(response.headers, idHeader).empty()) {
            return this->onFailure({ HttpFailure::Stage::ResponseTruncated,
                                     "the refusal does not repeat the request id", false });
        }
        return this->onNotExecuted(response);
    }
    this->recordAnswered();
    this->target.recordResponse(response, this->core.now() - this->beganAt);
    const bool hasFailed = response.status >= statusServerError;
    if (hasFailed && isIdempotent(this->request.route->kind) && this->target.hasTimeForAttempt()
        && !this->target.longPause() && this->takeRetry()) {
        this->hasUnknownAttempt = true;
        return RepeatRequest { {}, "upstream failed" };
    }
    if (!isIdempotent(this->request.route->kind) && promisesNotRun(response.status)) {
        // The client would believe that the request has not run, and send it again.
        return OutcomeUnknown { "upstream answered " + std::to_string(response.status)
                                + " without telling that the request has not run" };
    }
    return ForwardResponse { std::move(response), hasFailed ? "upstream failed" : "answered" };
}

// The upstream refused the request without running it.
AfterAttempt AttemptResult::onNotExecuted(const HttpResponse &response)
{
    const bool misdirected = response.status == statusMisdirected;
    if (misdirected) {
        this->target.release();
    } else {
        this->target.recordShed();
    }
    const std::string_view responder
            = HopHeaders::find(response.headers, this->core.externalCodec().headers().upstreamId);
    const std::shared_ptr<GatewayUpstream> &upstream = this->target.upstream();
    if (misdirected && !responder.empty() && responder != this->target.upstreamId()) {
        // Another upstream responded at this address, so the target has stopped.
        upstream->markReplaced();
    }
    if (const std::optional<Milliseconds> pause = this->target.longPause()) {
        return RefuseRequest { "upstream is full or has asked for a pause", pause };
    }
    if (!this->target.hasTimeForAttempt() || !this->takeRetry()) {
        return misdirected ? AfterAttempt(RefuseRequest { "owner has changed", {} })
                           : AfterAttempt(RefuseForCapacity { "upstream is full" });
    }
    if (!this->request.keyed) {
        return RepeatRequest { {}, "upstream is full" };
    }
    if (!misdirected) {
        return RepeatRequest { shedRetryDelay, "upstream is full" };
    }
    if (this->attempts.count() == 1 && !upstream->isReplaced()) {
        return RepeatRequest { misdirectedRetryDelay, "owner has changed" };
    }
    return AwaitOwner {};
}

AfterAttempt AttemptResult::onFailure(const HttpFailure &failure)
{
    if (failure.stage == HttpFailure::Stage::Refused) {
        return this->onRefusedConnection();
    }
    this->target.release();
    if (failure.stage == HttpFailure::Stage::Cancelled) {
        this->attempts.cancelLast();
        return SelectAgain {};
    }
    this->target.upstream()->recordFailure(this->beganAt, this->core.now());
    if (failure.stage == HttpFailure::Stage::Connect) {
        return this->repeatUnsent(failure.reason);
    }
    const bool hasTimeForRetry = this->target.hasTimeForAttempt();
    this->hasUnknownAttempt = true;
    if (failure.stage == HttpFailure::Stage::Sent) {
        this->recordBroken();
    }
    if (isIdempotent(this->request.route->kind) && hasTimeForRetry && this->takeRetry()) {
        return RepeatRequest { {}, "connection failed: " + failure.reason };
    }
    return OutcomeUnknown { failure.reason };
}

// The upstream has too many connections: it is full, not unavailable.
AfterAttempt AttemptResult::onRefusedConnection()
{
    this->target.recordRefusedConnection();
    const Milliseconds delay = this->attempts.recordRefusedConnection();
    const std::string reason = "upstream has too many connections";
    if (!this->target.hasTimeForAttempt(delay)) {
        return RefuseForCapacity { reason };
    }
    return RepeatRequest { delay, reason };
}

// If no other connection opens either, the cause is the link of this gateway.
AfterAttempt AttemptResult::onConnectTimeout()
{
    this->target.release();
    const TimePoint now = this->core.now();
    if (this->core.connectMonitor().recordTimeout(this->beganAt, now)) {
        this->target.upstream()->recordFailure(this->beganAt, now);
    }
    return this->repeatUnsent("connect timeout");
}

// Sends the request, of which nothing was written, once more, or refuses it.
AfterAttempt AttemptResult::repeatUnsent(const std::string &failure)
{
    const std::string reason = "cannot connect to upstream: " + failure;
    if (this->target.hasTimeForAttempt() && this->attempts.mayRepeat()) {
        return RepeatRequest { reconnectDelay, reason };
    }
    return RefuseRequest { reason, {} };
}

// The connection broke before the upstream answered, which may have crashed under the request.
void AttemptResult::recordBroken()
{
    CrashGuard &guard = this->core.crashGuard();
    const RequestDigest digest = this->request.digest;
    const std::string_view requestId
            = this->request.exchange->header(this->core.externalCodec().headers().requestId);
    const UpstreamIncarnation &upstream = this->target.upstream()->upstream().incarnation;
    const bool isNew = guard.recordBroken({ digest, attemptIdOf(requestId, upstream), {} },
                                          this->core.now());
    const std::size_t broken = guard.ledger().brokenCount(digest);
    if (!isNew || broken < 2) {
        return;
    }
    this->core.events().write({ "request_suspected",
                                Event::Weight::Important,
                                { { "request", std::string(requestId) },
                                  { "digest", std::to_string(digest) },
                                  { "broken", std::int64_t(broken) },
                                  { "upstream", upstream.id },
                                  { "blocked", guard.ledger().isBlocked(digest) } } });
}

// Repeats an idempotent request that takes far longer than usual.
bool AttemptResult::isTooSlow(Milliseconds elapsed)
{
    return this->shouldRepeatSlow(elapsed) && this->canRepeatAtOwner() && this->takeRetry();
}

AfterAttempt AttemptResult::onSlowAttempt()
{
    this->target.acceptSuspected();
    this->hasUnknownAttempt = true;
    this->target.release();
    this->target.upstream()->recordFailure(this->beganAt, this->core.now());
    return RepeatRequest { {}, "no answer" };
}

// Whether a request that was sent @p elapsed ago probably gets no response, and another attempt can
// start at once and end in time.
bool AttemptResult::shouldRepeatSlow(Milliseconds elapsed) const
{
    const UpstreamAdmission &admission = this->target.upstream()->admission();
    const Milliseconds typical = this->target.typicalDuration();
    if (!isIdempotent(this->request.route->kind) || this->core.isStopping()
        || !admission.hasMeasuredDuration()
        || elapsed < std::max(typical * slowFactor, minSlowDuration)
        || !this->target.hasTimeForAttempt()) {
        return false;
    }
    if (this->request.keyed) {
        return admission.hasCapacity();
    }
    const std::shared_ptr<GatewayUpstream> other = this->core.chooseUpstream(
            this->request.service, this->request.homes(this->core.view().active),
            this->attempts.chosen());
    return other && other->admission().hasCapacity();
}

// Whether the owner of the key still gets requests after the failure of this one. If it does not,
// the failure is recorded for the requests that follow, and this one waits for its response.
bool AttemptResult::canRepeatAtOwner()
{
    const TimePoint now = this->core.now();
    const std::shared_ptr<GatewayUpstream> &upstream = this->target.upstream();
    if (!this->request.keyed || !upstream->wouldBeSuspected(this->beganAt, now)) {
        return true;
    }
    if (!std::exchange(this->hasRecordedFailure, true)) {
        upstream->recordFailure(this->beganAt, now);
    }
    return false;
}

void AttemptResult::recordLate()
{
    if (!this->hasRecordedFailure) {
        this->target.upstream()->recordFailure(this->beganAt, this->core.now());
    }
}

// Takes a retry from the budget of the service, if the request can be sent once more. Returns
// whether it did.
bool AttemptResult::takeRetry() const
{
    const bool isSuspect = this->core.crashGuard().ledger().brokenCount(this->request.digest) > 1;
    if (!this->attempts.mayRepeat() || isSuspect) {
        return false;
    }
    if (!this->request.keyed && this->attempts.reachedCount() >= this->request.route->attempts) {
        return false;
    }
    const bool isTaken = this->core.budget(this->request.service).take(this->core.now());
    this->core.countRepeat(this->request.service, isTaken);
    return isTaken;
}

} // namespace cassiaroad
