#pragma once

#include "connection/upstreampool.h"
#include "request/admissionqueue.h"
#include "request/concurrencylimit.h"
#include "version/routetable.h"

namespace cassiaroad {

/** The request may be sent now. */
struct StartNow
{ };

/** Decision about a request that is to be sent to an upstream. */
using DispatchDecision = std::variant<StartNow, Waiting, Displaced, Refused>;

/** Limits of the queue of an upstream, and the silence timeout of its connections. */
struct DispatcherSettings
{
    std::uint32_t queueLength = 256;
    Milliseconds queueTimeout { 2000 };
    Milliseconds silenceTimeout { 1500 };

    bool operator==(const DispatcherSettings &) const = default;
};

/**
 * Decides when an entry host sends requests to one upstream: its adaptive concurrency limit, the
 * queue of requests that wait for it, and the pool of connections. The slots and connections that
 * the upstream announced are divided evenly among the entry hosts. Loop thread only.
 */
class UpstreamDispatcher
{
public:
    /**
     * @p entryHosts is at least 1. With @p cold the concurrency limit starts at one request, for an
     * upstream that returns.
     */
    UpstreamDispatcher(EventLoop &loop, HttpClient &client, Upstream announced,
                       std::uint32_t entryHosts, const DispatcherSettings &settings, bool cold);

    /**
     * Decides about a request: it may be sent now, waits, replaces a waiting one, or is refused.
     * After StartNow the caller must call one of the finish functions of limit().
     */
    DispatchDecision enter(RequestId id, Priority priority, const Deadline &deadline,
                           TimePoint now);

    /** Removes and returns the next waiting request that may be sent now; it counts as started. */
    std::optional<RequestId> takeStartable();

    /** Removes and returns the waiting requests whose queue timeout or deadline has passed. */
    std::vector<RequestId> takeExpired(TimePoint now) { return this->queue.takeExpired(now); }

    /** Removes a waiting request; does nothing if it does not wait. */
    void remove(RequestId id) { this->queue.remove(id); }

    /** Applies a change of the upstream, of the number of entry hosts or of the settings. */
    void update(const Upstream &upstream, std::uint32_t entryHosts,
                const DispatcherSettings &settings);

    const Upstream &upstream() const { return this->announced; }
    UpstreamPool &pool() { return this->connections; }
    ConcurrencyLimit &limit() { return this->concurrency; }
    /** Number of requests that wait at present. */
    std::size_t queueLength() const { return this->queue.size(); }

private:
    Upstream announced; // as in the route table
    AdmissionQueue queue;
    ConcurrencyLimit concurrency;
    UpstreamPool connections;
};

} // namespace cassiaroad
