#pragma once

#include "gateway/gatewaycore.h"

namespace cassiaroad {

/**
 * The wait of one request: for a change of the routing table, for a permit, for capacity of an
 * upstream, or for the time of its repetition. At most one is in progress. Each function that is
 * passed in is called once at most, and not after stop(). Loop thread only.
 */
class RequestWait
{
public:
    using Action = std::function<void()>;

    /** Waits on behalf of the request @p id. @p core must outlive the object. */
    RequestWait(GatewayCore &core, GatewayRequestId id);
    ~RequestWait() { this->stop(); }
    RequestWait(const RequestWait &) = delete;
    RequestWait &operator=(const RequestWait &) = delete;

    /** Calls @p resume when the routing table changes, or @p timeout after @p maxWait. */
    void waitForTable(Milliseconds maxWait, Action resume, Action timeout);

    /**
     * Calls @p resume when the leader has decided about the permit for @p upstream that was asked
     * for just now, or @p timeout after @p maxWait.
     */
    void waitForPermit(const GatewayUpstream &upstream, Milliseconds maxWait, Action resume,
                       Action timeout);

    /**
     * Calls one of the functions of @p next as GatewayCore::waitForCapacity() does, for a request
     * that @p upstream has queued, or @p timeout after @p maxWait.
     */
    void waitForCapacity(std::shared_ptr<GatewayUpstream> upstream, Milliseconds maxWait,
                         GatewayCore::CapacityWait next, Action timeout);

    /** Calls @p resume after @p delay. */
    void waitFor(Milliseconds delay, Action resume);

    /** Ends whatever wait is in progress. */
    void stop();

    /** How long the request has waited for capacity of the upstream that has started it last. */
    Milliseconds queuedDuration() const { return this->queued; }
    /** How long the request has waited for changes of the routing table. */
    Milliseconds tableDuration() const { return this->tableWaited; }

private:
    Action afterQueue(Action action);

    GatewayCore &core;
    GatewayRequestId id;
    TimePoint startedAt;
    Milliseconds queued { 0 };
    Milliseconds tableWaited { 0 };
    std::uint64_t tableWait = 0; // see GatewayCore::waitForTableChange(); 0: none
    std::uint64_t permitWait = 0; // see ColdAdmission::wait(); 0: none
    std::shared_ptr<GatewayUpstream> queuedAt; // null: does not wait for capacity
    EventLoop::Timer timer;
};

} // namespace cassiaroad
