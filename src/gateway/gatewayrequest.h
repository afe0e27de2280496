#pragma once

#include "connection/httpserver.h"
#include "gateway/gatewaycore.h"
#include "request/hopheaders.h"

namespace cassiaroad {

/**
 * One request of a client, from its arrival to its answer. It keeps itself alive until it is
 * answered or the client has gone. Loop thread only.
 */
class GatewayRequest : public std::enable_shared_from_this<GatewayRequest>
{
public:
    /** Takes over the request. @p core must outlive it. */
    static void begin(GatewayCore &core, std::shared_ptr<HttpExchange> exchange);

    GatewayRequest(GatewayCore &core, std::shared_ptr<HttpExchange> exchange);

private:
    using Step = void (GatewayRequest::*)();

    void start();
    bool findRoute();
    bool readKey();
    void dispatch();
    std::shared_ptr<GatewayUpstream> findOwner() const;
    void waitForOwner();
    void enter(std::shared_ptr<GatewayUpstream> chosen);
    bool maySendToTarget() const;
    void startFromQueue();
    void send();
    HttpRequest buildRequest() const;
    void watchCall();
    void checkCall();
    bool isWorthRepeating(Milliseconds taken) const;
    void onResult(HttpResult result);
    void onResponse(HttpResponse answer);
    void onNotExecuted(const HttpResponse &answer);
    void onFailure(const HttpFailure &failure);
    void onDeadline();
    void onClientGone();
    void onGatewayEnds();
    void end();
    bool mayRepeat() const;
    void repeatAfter(Milliseconds delay, const std::string &reason);
    void releaseUpstream();
    void refuse(const std::string &reason);
    void refuseUntil(Milliseconds comeBack, const std::string &reason);
    void fail(int status, const std::string &reason);
    void finish(int status, Headers headers, std::string body, const std::string &outcome);
    void logOutcome(int status, const std::string &outcome);
    void logEvent(const char *name, Event::Weight weight, int status, const std::string &outcome);
    void stopWaiting();
    Milliseconds timeLeft() const;
    Milliseconds typicalDuration() const;
    Milliseconds usualDuration() const;
    std::function<void()> callback(Step step);

    GatewayCore &core;
    std::shared_ptr<HttpExchange> exchange;
    GatewayRequestId id;
    TimePoint arrived;
    TimePoint responseDeadline;
    Milliseconds clientTime { 0 }; // that the client waits in all
    std::shared_ptr<const ActiveConfiguration> active; // keeps the route valid
    const SiteRoute *route = nullptr;
    std::string service;
    bool keyed = false;
    std::optional<KeyNumber> key;

    std::shared_ptr<GatewayUpstream> target;
    bool occupies = false; // counts as in flight at the target
    std::unique_ptr<HttpClient::Call> call;
    std::vector<std::string> tried; // ids of upstreams that the request was sent to
    std::uint32_t sends = 0;
    bool mayHaveRun = false; // an earlier send ended without proof that it did not run
    TimePoint sentAt;
    TimePoint queuedAt;
    Milliseconds queued { 0 }; // for room at the target
    Milliseconds ownerWaited { 0 }; // until the key had an owner
    std::uint64_t tableWait = 0;
    bool ended = false;
    EventLoop::Timer deadlineTimer;
    EventLoop::Timer waitTimer;
    EventLoop::Timer callTimer;
    std::shared_ptr<GatewayRequest> self; // until the request has ended
};

} // namespace cassiaroad
