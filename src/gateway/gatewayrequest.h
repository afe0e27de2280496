#pragma once

#include "gateway/attemptresult.h"
#include "gateway/attemptsender.h"
#include "gateway/requestanswer.h"
#include "gateway/requestwait.h"

namespace cassiaroad {

/**
 * One request of a client, from its arrival to its response. Leads it through the stages of its
 * life cycle, each of which is a class of its own: routeRequest() finds its route and key,
 * RequestTarget selects an upstream and has it admitted there, RequestWait lets it wait for an
 * owner of its key or for capacity, AttemptSender sends it, AttemptResult decides whether it is
 * repeated, and deliverAnswer() ends it. It keeps itself alive until it has responded or the client
 * has disconnected. Loop thread only.
 */
class GatewayRequest : public AttemptSender::Observer,
                       public std::enable_shared_from_this<GatewayRequest>
{
public:
    /** Handles a request that has arrived. @p core must outlive it. */
    static void begin(GatewayCore &core, std::shared_ptr<HttpExchange> exchange);

    GatewayRequest(GatewayCore &core, std::shared_ptr<HttpExchange> exchange);

    WriteDecision decideWrite(const ConnectionState &connection) override;
    bool isTooSlow(Milliseconds elapsed) override { return this->results.isTooSlow(elapsed); }
    void onSlowAttempt() override { this->continueWith(this->results.onSlowAttempt()); }
    void onResult(HttpResult result) override
    {
        this->continueWith(this->results.onResult(std::move(result)));
    }
    void onSlowResult(HttpResult result) override;
    void onConnectTimeout() override { this->continueWith(this->results.onConnectTimeout()); }
    void onEvacuated() override;
    void onNotice(const std::shared_ptr<GatewayUpstream> &upstream,
                  const HttpResponse &response) override
    {
        this->results.recordNotice(upstream, response);
    }

private:
    using Step = void (GatewayRequest::*)();
    struct SelectionVisitor;
    struct AttemptVisitor;

    void start();
    void dispatch();
    void waitForPause(Milliseconds pause, const std::string &reason);
    void waitForPermit(const GatewayUpstream &upstream);
    void waitForOwner();
    void submit(std::shared_ptr<GatewayUpstream> chosen);
    void waitForCapacity();
    void startFromQueue();
    void send();
    void continueWith(AfterAttempt next);
    void repeatAfter(Milliseconds delay, const std::string &reason);
    void waitForSlowCall();
    bool isBlocked() const;
    bool takeTrial();
    void onBlocked();
    bool awaitsTrial();
    void refuseBlocked();
    void onDeadline();
    void onClientGone();
    void onStop(StopStage stage);
    void onOwnerTimeout();
    void onPermitTimeout();
    void onCapacityTimeout();
    void onLate();
    void end();
    void refuse(const std::string &reason);
    void refuseWithRetryAfter(Milliseconds retryAfter, const std::string &reason);
    void refuseForCapacity(const std::string &reason);
    void refuseUnlessRun(const std::string &reason, RequestAnswer refusal);
    void finish(RequestAnswer answer);
    bool mayHaveRun() const { return this->results.mayHaveRun() || this->sender.isSent(); }
    RequestFacts facts(const std::string &outcome) const;
    Milliseconds timeLeft() const { return this->request.timeLeft(this->core.now()); }
    std::function<void()> callback(Step step);

    GatewayCore &core;
    ClientRequest request;
    RequestAttempts attempts;
    RequestTarget target;
    AttemptResult results;
    AttemptSender sender;
    RequestWait wait;
    std::string limitAtStart = "none"; // of the last attempt's target, for the log
    std::optional<TimePoint> permitUntil; // of the last attempt; nothing: it has none
    bool hasWaitedForPermit = false;
    bool isTrial = false; // may be sent although requests like it are blocked
    std::optional<TimePoint> trialDeadline; // until which it waits for a trial that it asked for
    bool isRepetitionGivenUp = false; // only the slow attempt is left
    bool ended = false;
    EventLoop::Timer deadlineTimer;
    std::shared_ptr<GatewayRequest> self; // keeps the request alive until it has ended
};

} // namespace cassiaroad
