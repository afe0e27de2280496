#include "cassiaroad/upstreamdispatcher.h"

#include "connection/socketaddress.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// Part of an upstream's slots or connections that one entry host may use; at least 1.
std::uint32_t share(std::uint32_t total, std::uint32_t entryHosts)
{
    return std::max<std::uint32_t>(1, total / entryHosts);
}

} // namespace

UpstreamDispatcher::UpstreamDispatcher(EventLoop &loop, HttpClient &client, Upstream announced,
                                       std::uint32_t entryHosts, const DispatcherSettings &settings,
                                       bool cold)
    : announced(std::move(announced))
    , queue(settings.queueLength, settings.queueTimeout)
    , concurrency(cold ? 1 : share(this->announced.slots, entryHosts),
                  share(this->announced.connections, entryHosts))
    , connections(loop, client, parseHostAddress(this->announced.address), settings.silenceTimeout)
{
    this->connections.setMaxConnections(share(this->announced.connections, entryHosts));
}

DispatchDecision UpstreamDispatcher::enter(RequestId id, Priority priority,
                                           const Deadline &deadline, TimePoint now)
{
    if (this->queue.size() == 0 && this->concurrency.hasCapacity()) {
        this->concurrency.start();
        return StartNow {};
    }
    const Milliseconds duration = this->concurrency.typicalDuration();
    const Milliseconds perRequest = duration / this->concurrency.limit();
    return std::visit([](const auto &decision) -> DispatchDecision { return decision; },
                      this->queue.add(id, priority, deadline, perRequest, duration, now));
}

std::optional<RequestId> UpstreamDispatcher::takeStartable()
{
    if (!this->concurrency.hasCapacity()) {
        return std::nullopt;
    }
    const std::optional<RequestId> next = this->queue.takeNext();
    if (next.has_value()) {
        this->concurrency.start();
    }
    return next;
}

void UpstreamDispatcher::update(const Upstream &upstream, std::uint32_t entryHosts,
                                const DispatcherSettings &settings)
{
    this->announced = upstream;
    this->queue.setLimits(settings.queueLength, settings.queueTimeout);
    this->concurrency.setMaxLimit(share(upstream.connections, entryHosts));
    this->connections.setSilenceTimeout(settings.silenceTimeout);
    this->connections.setMaxConnections(share(upstream.connections, entryHosts));
}

} // namespace cassiaroad
