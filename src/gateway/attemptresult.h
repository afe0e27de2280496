#pragma once

#include "gateway/requesttarget.h"

namespace cassiaroad {

/**
 * The client gets the response of the upstream. Its status does not promise more than the upstream
 * has told: see promisesNotRun().
 */
struct ForwardResponse
{
    HttpResponse response;
    std::string outcome;
};

/** The request is sent once more after a delay. */
struct RepeatRequest
{
    Milliseconds delay;
    std::string reason;
};

/** The request is sent once more, as it was not written. */
struct SelectAgain
{ };

/** The request waits until its key has another owner. */
struct AwaitOwner
{ };

/** The request is refused, unless an earlier attempt may have run. */
struct RefuseRequest
{
    std::string reason;
    std::optional<Milliseconds> retryAfter; // nothing: after the duration of a request
};

/** The request is refused since its upstream is full, unless an earlier attempt may have run. */
struct RefuseForCapacity
{
    std::string reason;
};

/** The request may have run, and is not repeated. */
struct OutcomeUnknown
{
    std::string reason;
};

using AfterAttempt = std::variant<ForwardResponse, RepeatRequest, SelectAgain, AwaitOwner,
                                  RefuseRequest, RefuseForCapacity, OutcomeUnknown>;

/**
 * Decides what follows the attempts of one request, and records what they tell of the upstream and
 * of the request. Sends nothing itself. Loop thread only.
 */
class AttemptResult
{
public:
    /** The arguments must outlive the object. */
    AttemptResult(GatewayCore &core, const ClientRequest &request, RequestAttempts &attempts,
                  RequestTarget &target);

    /** An attempt at the target begins at @p now. */
    void begin(TimePoint now);

    /** The attempt has ended with @p result. */
    AfterAttempt onResult(HttpResult result);
    /** The attempt was cancelled, since its connection did not open in time. */
    AfterAttempt onConnectTimeout();
    /** Whether the attempt, which was written @p elapsed ago, is to be repeated as slow. */
    bool isTooSlow(Milliseconds elapsed);
    /** The attempt goes on as slow and is repeated. */
    AfterAttempt onSlowAttempt();
    /** Records that the attempt has no response at the deadline. */
    void recordLate();
    /** Records that an upstream has run the request. */
    void recordAnswered();
    /** Records what @p response tells of @p upstream itself. */
    void recordNotice(const std::shared_ptr<GatewayUpstream> &upstream,
                      const HttpResponse &response);

    /** Whether @p response tells that the request has not run. */
    bool isNotExecuted(const HttpResponse &response) const;
    /** Whether an earlier attempt ended without proof that it did not run. */
    bool mayHaveRun() const { return this->hasUnknownAttempt; }

private:
    AfterAttempt onResponse(HttpResponse response);
    AfterAttempt onNotExecuted(const HttpResponse &response);
    AfterAttempt onFailure(const HttpFailure &failure);
    AfterAttempt onRefusedConnection();
    AfterAttempt repeatUnsent(const std::string &failure);
    void recordBroken();
    bool shouldRepeatSlow(Milliseconds elapsed) const;
    bool canRepeatAtOwner();
    bool takeRetry() const;

    GatewayCore &core;
    const ClientRequest &request;
    RequestAttempts &attempts;
    RequestTarget &target;
    TimePoint beganAt; // the last attempt
    bool hasUnknownAttempt = false;
    bool hasRecordedFailure = false; // of the target, while its response may still arrive
};

} // namespace cassiaroad
