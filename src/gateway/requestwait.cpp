#include "gateway/requestwait.h"

#include <utility>

namespace cassiaroad {

RequestWait::RequestWait(GatewayCore &core, GatewayRequestId id)
    : core(core)
    , id(id)
{ }

void RequestWait::waitForTable(Milliseconds maxWait, Action resume, Action timeout)
{
    this->startedAt = this->core.now();
    this->tableWait = this->core.waitForTableChange(std::move(resume));
    this->timer = this->core.eventLoop().callAfter(maxWait, std::move(timeout));
}

void RequestWait::waitForPermit(const GatewayUpstream &upstream, Milliseconds maxWait,
                                Action resume, Action timeout)
{
    this->permitWait = this->core.coldAdmission().wait(upstream, std::move(resume));
    this->timer = this->core.eventLoop().callAfter(maxWait, std::move(timeout));
}

void RequestWait::waitForCapacity(std::shared_ptr<GatewayUpstream> upstream, Milliseconds maxWait,
                                  GatewayCore::CapacityWait next, Action timeout)
{
    this->startedAt = this->core.now();
    this->queuedAt = std::move(upstream);
    this->core.waitForCapacity(this->id, { this->afterQueue(std::move(next.start)),
                                           this->afterQueue(std::move(next.redirect)),
                                           this->afterQueue(std::move(next.refuse)) });
    this->timer = this->core.eventLoop().callAfter(maxWait, std::move(timeout));
}

// Returns a function that ends the wait for capacity and calls @p action. The upstream has removed
// the request from its queue before.
RequestWait::Action RequestWait::afterQueue(Action action)
{
    return [this, action = std::move(action)] {
        this->queued = this->core.now() - this->startedAt;
        this->queuedAt.reset();
        this->timer = EventLoop::Timer();
        action();
    };
}

void RequestWait::waitFor(Milliseconds delay, Action resume)
{
    this->timer = this->core.eventLoop().callAfter(delay, std::move(resume));
}

void RequestWait::stop()
{
    this->timer = EventLoop::Timer();
    if (this->tableWait != 0) {
        this->core.cancelTableWait(std::exchange(this->tableWait, 0));
        this->tableWaited = this->tableWaited + (this->core.now() - this->startedAt);
    }
    if (this->permitWait != 0) {
        this->core.coldAdmission().cancelWait(std::exchange(this->permitWait, 0));
    }
    this->core.cancelCapacityWait(this->id);
    if (const std::shared_ptr<GatewayUpstream> upstream = std::exchange(this->queuedAt, nullptr)) {
        upstream->admission().remove(this->id);
    }
}

} // namespace cassiaroad
