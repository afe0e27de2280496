#pragma once

#include "gateway/clientrequest.h"
#include "gateway/requestattempts.h"
#include "gateway/upstreamselection.h"

namespace cassiaroad {

/**
 * The upstream that one request has selected, and whether the request counts as in flight there.
 * Loop thread only.
 */
class RequestTarget
{
public:
    /** The arguments must outlive the object. */
    RequestTarget(GatewayCore &core, const ClientRequest &request, const RequestAttempts &attempts);

    /** Selects an upstream for the next attempt. The target is not set by this. */
    UpstreamSelection select() const;
    /** From now on, an owner of the key that has stopped responding is selected all the same. */
    void acceptSuspected() { this->acceptsSuspected = true; }

    /** Submits the request to @p chosen, which becomes the target. */
    AdmissionDecision submit(std::shared_ptr<GatewayUpstream> chosen);
    /** Returns a Retry-After for the request, which finds no capacity; see UpstreamAdmission. */
    Milliseconds drawRetryAfter(Milliseconds longest);
    /** Unsets the target. Precondition: the request is not in flight. */
    void clear() { this->target.reset(); }
    /** The target has started the request, which it had queued. */
    void markInFlight() { this->inFlight = true; }
    /** Whether the target, at which the request has waited, may still get it. */
    bool maySend() const;
    /** The request, which the target has started, is not sent there. */
    void declineStart() { this->target->admission().finishWithoutResponse(); }

    /** Ends the attempt, if there is one, without a response. */
    void release();
    /** Ends the attempt with @p response, which arrived after @p duration. */
    void recordResponse(const HttpResponse &response, Milliseconds duration);
    /** Ends the attempt, which the upstream has refused since it is full. */
    void recordShed();
    /** Ends the attempt, whose connection the upstream has refused since it is full. */
    void recordRefusedConnection();

    /** The target, or null. */
    const std::shared_ptr<GatewayUpstream> &upstream() const { return this->target; }
    /** Id of the target. Precondition: there is one. */
    const std::string &upstreamId() const { return this->target->upstream().incarnation.id; }

    /** Duration of a request at the target as measured, or as assumed for the route. */
    Milliseconds typicalDuration() const;
    /** Whether an attempt that starts now probably ends in time. */
    bool hasTimeForAttempt(Milliseconds delay = {}) const;
    /** How long after it was received the request may wait for an upstream that can take it. */
    Milliseconds maxOwnerWait() const;
    /** Whether the request may wait for @p pause and still get its response in time. */
    bool canWaitFor(Milliseconds pause) const;
    /**
     * Returns the time left of a pause that the owner of the key has asked for, or until its pace
     * allows a request, if this one cannot wait for that.
     */
    std::optional<Milliseconds> longPause() const;

private:
    void recordRefused();
    HomeRegions homes() const { return this->request.homes(this->core.view().active); }

    GatewayCore &core;
    const ClientRequest &request;
    const RequestAttempts &attempts;
    std::shared_ptr<GatewayUpstream> target;
    bool inFlight = false;
    bool acceptsSuspected = false;
};

} // namespace cassiaroad
