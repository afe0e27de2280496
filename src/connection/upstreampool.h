#pragma once

#include "connection/httpclient.h"

#include <functional>
#include <memory>

namespace cassiaroad {

/** What was seen of an upstream since the previous report. */
struct UpstreamObservation
{
    std::uint32_t requests = 0;
    std::uint32_t failures = 0; // failed connections and failed probes
    std::uint32_t shed = 0;

    bool operator==(const UpstreamObservation &) const = default;
};

/**
 * Requests to one upstream. Finds connections that have gone silent: when one in use makes no
 * progress for the silence time, a probe on a new connection decides whether the connection or the
 * upstream is at fault. Loop thread only.
 */
class UpstreamPool
{
public:
    /** A request in flight. Destroying it cancels the request. May outlive the pool. */
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
     * As HttpClient::send, to this upstream; silent connections fail with stage Connect or Sent. A
     * call that was sent fails only after @p patience without progress, if that is longer than the
     * silence: a slow upstream looks like a silent connection.
     */
    [[nodiscard]] std::unique_ptr<Call> send(HttpRequest request, std::size_t maxResponseBytes,
                                             std::function<void(HttpResult)> done,
                                             std::function<bool()> canWrite,
                                             Milliseconds patience = {});

    /** Counts a request that the upstream shed. */
    void countShed();

    /** Returns what was seen since the previous call and starts anew. */
    UpstreamObservation takeObservation();

    /** Gives back what was taken but could not be reported. */
    void returnObservation(const UpstreamObservation &observation);

    void setSilenceTimeout(Milliseconds silenceTimeout);

    /** Bounds the connections, idle ones included; probes come on top. */
    void setMaxConnections(std::size_t most);

    /** Number of connections found silent so far. */
    std::uint64_t silentConnections() const;

private:
    struct Private;
    class PooledCall;
    std::shared_ptr<Private> d;
};

} // namespace cassiaroad
