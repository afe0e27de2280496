#pragma once

#include "connection/upstreampool.h"
#include "request/admissionqueue.h"
#include "request/concurrencylimit.h"
#include "version/routetable.h"

namespace cassiaroad {

/** The request may be sent now. */
struct StartNow
{ };

using GateDecision = std::variant<StartNow, Waiting, Displaced, Refused>;

/** Bounds of the queue and silence time of an upstream. */
struct GateSettings
{
    std::uint32_t queueLength = 256;
    Milliseconds queueTimeout { 2000 };
    Milliseconds silenceTimeout { 1500 };

    bool operator==(const GateSettings &) const = default;
};

/** Everything an entry host keeps for one upstream: its share, queue and connections. */
class UpstreamGate
{
public:
    /** @p entryHosts is at least 1. @p cold: the upstream returns, so it starts with one request.
     */
    UpstreamGate(EventLoop &loop, HttpClient &client, Upstream announced, std::uint32_t entryHosts,
                 const GateSettings &settings, bool cold);

    /** Asks to send a request. After StartNow the caller must call one of the finish methods. */
    GateDecision enter(RequestId id, Priority priority, const Deadline &deadline, TimePoint now);

    /** Takes the next waiting request that may be sent now; it counts as started. */
    std::optional<RequestId> takeStartable();

    std::vector<RequestId> takeExpired(TimePoint now) { return this->queue.takeExpired(now); }
    void remove(RequestId id) { this->queue.remove(id); }

    /** Adapts to a change of the number of entry hosts, of the upstream or of settings. */
    void update(const Upstream &upstream, std::uint32_t entryHosts, const GateSettings &settings);

    const Upstream &upstream() const { return this->announced; }
    UpstreamPool &pool() { return this->connections; }
    ConcurrencyLimit &limit() { return this->concurrency; }
    std::size_t queueLength() const { return this->queue.size(); }

private:
    Upstream announced;
    AdmissionQueue queue;
    ConcurrencyLimit concurrency;
    UpstreamPool connections;
};

} // namespace cassiaroad
