#pragma once

#include "gateway/clientrequest.h"
#include "gateway/requestattempts.h"

namespace cassiaroad {

/**
 * Sends one request to upstreams, one attempt at a time. A slow attempt goes on until its
 * repetition is written, since the key may lose its owner, or no connection may open, before that.
 * Loop thread only.
 */
class AttemptSender
{
public:
    /** Decides about the attempts and receives their results. */
    class Observer
    {
    public:
        virtual ~Observer() = default;

        /** Whether the first byte of the attempt is written on @p connection now. */
        virtual WriteDecision decideWrite(const ConnectionState &connection) = 0;
        /** Whether the attempt, which was written @p elapsed ago, is to be repeated as slow. */
        virtual bool isTooSlow(Milliseconds elapsed) = 0;
        /** The attempt goes on as slow; the next send() is its repetition. */
        virtual void onSlowAttempt() = 0;
        /** The attempt has ended with @p result. */
        virtual void onResult(HttpResult result) = 0;
        /** The slow attempt has ended with @p result before its repetition was written. */
        virtual void onSlowResult(HttpResult result) = 0;
        /** The attempt was cancelled, since its connection has not opened in time. */
        virtual void onConnectTimeout() = 0;
        /** The unwritten attempt was cancelled, since its upstream is evacuated. */
        virtual void onEvacuated() = 0;
        /** Any attempt at @p upstream has ended with @p response. */
        virtual void onNotice(const std::shared_ptr<GatewayUpstream> &upstream,
                              const HttpResponse &response)
                = 0;
    };

    /** @p core, @p request and @p attempts must outlive the object. */
    AttemptSender(GatewayCore &core, const ClientRequest &request, RequestAttempts &attempts);

    /** Sets the observer. It must own this object, directly or not. */
    void observe(std::weak_ptr<Observer> value) { this->observer = std::move(value); }

    /** Begins an attempt at @p upstream. Precondition: none but a slow one is in progress. */
    void send(const std::shared_ptr<GatewayUpstream> &upstream);

    /** Cancels all attempts; none of the functions of the observer is called afterwards. */
    void stop();
    /** Cancels the slow attempt, if there is one. */
    void cancelSlow() { this->slowCall.reset(); }

    /** When the last attempt began. */
    TimePoint sentAt() const { return this->beganAt; }
    /** Whether an attempt other than a slow one is in progress. */
    bool hasAttempt() const { return this->call != nullptr; }
    bool hasSlowAttempt() const { return this->slowCall != nullptr; }
    /**
     * Whether a byte of an attempt that has no result was written, so that it may run at its
     * upstream. After stop(): whether one was when it was called.
     */
    bool isSent() const;

private:
    HttpRequest buildRequest() const;
    WriteDecision decideWrite(const ConnectionState &connection);
    void onCallResult(std::uint32_t attempt, const std::shared_ptr<GatewayUpstream> &upstream,
                      HttpResult result);
    void scheduleCheck();
    void check();
    void keepAsSlow();

    GatewayCore &core;
    const ClientRequest &request;
    RequestAttempts &attempts;
    std::weak_ptr<Observer> observer;
    std::shared_ptr<GatewayUpstream> target; // of the last attempt
    TimePoint beganAt;
    std::unique_ptr<HttpClient::Call> call;
    std::unique_ptr<HttpClient::Call> slowCall;
    std::uint32_t slowAttempt = 0; // its number, see `attempts`
    EventLoop::Timer checkTimer;
    bool stopped = false;
    bool wasSent = false; // valid once stopped
};

} // namespace cassiaroad
