#pragma once

#include "version/upstreamreport.h"

#include <functional>
#include <map>
#include <optional>

namespace cassiaroad {

/**
 * Tracks the heartbeats and service times of upstreams at the leader. It does no I/O and reads no
 * clock. Not thread-safe.
 */
class UpstreamMonitor
{
public:
    explicit UpstreamMonitor(Milliseconds heartbeatInterval)
        : heartbeatInterval(heartbeatInterval)
    { }

    /** Forgets all heartbeats. Upstreams count as last seen at @p now until their next one. */
    void startTerm(TimePoint now);

    /**
     * Records a heartbeat, unless one of the same incarnation with an equal or higher sequence
     * number was recorded before. Returns whether it was recorded.
     */
    bool accept(const UpstreamReport &report, TimePoint now);

    /**
     * Records a heartbeat that may have been sent long ago, by an incarnation that has ended since.
     * It counts as by accept() if a heartbeat with a lower sequence number came in the same way at
     * least half a heartbeat interval earlier. Returns whether it counts.
     */
    bool acceptDoubted(const UpstreamReport &report, TimePoint now);

    /**
     * Whether an upstream that was withdrawn has reported for longer than a leaving one serves,
     * @p report included, that it is ready. Precondition: accept() or acceptDoubted() was true for
     * @p report.
     */
    bool hasStayedReady(const UpstreamReport &report, TimePoint now);

    /** Records a sign of life other than a heartbeat, if a heartbeat of it was recorded before. */
    void recordSeen(const UpstreamIncarnation &incarnation, TimePoint now);

    /**
     * Records that @p requests of upstream @p id took @p duration in total, not counting the time
     * they waited at the upstream.
     */
    void recordTiming(const std::string &id, std::uint32_t requests, Milliseconds duration);

    /** Whether a heartbeat of the incarnation was recorded in this term. */
    bool hasReported(const UpstreamIncarnation &incarnation) const
    {
        return this->incarnations.contains(incarnation);
    }

    /** Returns the time of the last sign of life in this term, or the start of the term. */
    TimePoint lastSeen(const UpstreamIncarnation &incarnation) const;

    /** Whether no heartbeat has arrived for two and a half heartbeat intervals. */
    bool isSilent(const UpstreamIncarnation &incarnation, TimePoint now) const;

    /** Whether the incarnation reported that it is still slow after its start. */
    bool isWarmingUp(const UpstreamIncarnation &incarnation, TimePoint now) const;

    /** Returns the time until the first expected heartbeat that is at least @p minDelay away. */
    Milliseconds timeToNextHeartbeat(const UpstreamIncarnation &incarnation, Milliseconds minDelay,
                                     TimePoint now) const;

    /** Returns the smoothed duration of one request at upstream @p id in milliseconds. */
    double serviceMilliseconds(const std::string &id) const;

    /** Returns when the first heartbeat of the incarnation arrived in this term. */
    TimePoint firstSeen(const UpstreamIncarnation &incarnation) const;

    /** Forgets the heartbeats of the incarnation and the service time of its id. */
    void forget(const UpstreamIncarnation &incarnation);

    /** Forgets the heartbeats of an incarnation that is not registered. */
    void forgetReports(const UpstreamIncarnation &incarnation)
    {
        this->incarnations.erase(incarnation);
    }

    /**
     * Forgets the incarnations for which @p isRegistered is false and that have been silent since
     * @p before.
     */
    void forgetOthers(const std::function<bool(const UpstreamIncarnation &)> &isRegistered,
                      TimePoint before);

private:
    /** Times and sequence number of the heartbeats of one incarnation. */
    struct HeartbeatState
    {
        TimePoint first;
        TimePoint last;
        TimePoint warmupEnd;
        std::uint64_t sequence = 0;
        std::optional<TimePoint> readySince; // after it was withdrawn; see hasStayedReady()
    };

    /** Heartbeats of one incarnation that may have been sent long ago. */
    struct DoubtedReports
    {
        TimePoint first;
        std::uint64_t sequence = 0;
    };

    /** Mean duration of the requests that an upstream responded to. */
    struct ServiceTime
    {
        double milliseconds = 0.0;
        double requests = 0.0; // number of requests in the mean, limited
    };

    double meanServiceMilliseconds() const;
    void setServiceTime(const std::string &id, const ServiceTime &time);

    Milliseconds heartbeatInterval;
    TimePoint termStart;
    std::map<UpstreamIncarnation, HeartbeatState> incarnations;
    std::map<UpstreamIncarnation, DoubtedReports> doubted;
    std::map<std::string, ServiceTime> serviceTimes; // by id of the upstream
    double allRequests = 0.0; // sum over serviceTimes
    double allMilliseconds = 0.0; // total duration of these requests
};

} // namespace cassiaroad
