#pragma once

#include "connection/httpclient.h"

#include <functional>
#include <memory>

namespace cassiaroad {

/** Requests to an upstream and their failures, as counted since the previous report. */
struct UpstreamObservation
{
    std::uint32_t requests = 0; // with a response or a failed connection; probes count as well
    std::uint32_t failures = 0; // failed connections and failed probes
    std::uint32_t shed = 0; // requests that the upstream refused (load shedding)

    bool operator==(const UpstreamObservation &) const = default;
};

/**
 * Sends requests to one upstream and detects silent connections: if a connection in use makes no
 * progress for the silence timeout, a probe (GET /healthz on a new connection) shows whether the
 * connection or the upstream causes it. Loop thread only.
 */
class UpstreamPool
{
public:
    /** A request in progress. Destroying it cancels the request. May outlive the pool. */
    class Call
    {
    public:
        virtual ~Call() = default;
        /** Whether a byte of the request may have been written. */
        virtual bool isSent() const = 0;
    };

    /** @p loop and @p client must outlive the pool and its calls. */
    UpstreamPool(EventLoop &loop, HttpClient &client, HostAddress address,
                 Milliseconds silenceTimeout);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool &) = delete;
    UpstreamPool &operator=(const UpstreamPool &) = delete;

    /**
     * Like HttpClient::send(), to this upstream. Calls on silent connections fail with stage
     * Connect or Sent. A call that was sent fails only after @p stallTimeout without progress, if
     * that is longer than the silence timeout, because a slow upstream looks like a silent
     * connection.
     */
    [[nodiscard]] std::unique_ptr<Call> send(HttpRequest request, std::size_t maxResponseBytes,
                                             std::function<void(HttpResult)> done,
                                             std::function<bool()> canWrite,
                                             Milliseconds stallTimeout = {});

    /** Counts a request that the upstream shed. */
    void countShed();

    /** Returns the counts since the previous call and resets them. */
    UpstreamObservation takeObservation();

    /** Adds counts again that were taken but could not be reported. */
    void returnObservation(const UpstreamObservation &observation);

    /** Sets the time without progress after which a connection counts as silent. */
    void setSilenceTimeout(Milliseconds silenceTimeout);

    /**
     * Sets the upper bound of the connections, including idle ones but not the connection of a
     * probe. Idle connections are closed to stay below it; requests are not refused.
     */
    void setMaxConnections(std::size_t maxCount);

    /** Number of silent connections detected so far. */
    std::uint64_t silentConnections() const;

private:
    struct Private;
    class PooledCall;
    std::shared_ptr<Private> d;
};

} // namespace cassiaroad
