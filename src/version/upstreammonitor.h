#pragma once

#include "version/upstreamreport.h"

#include <map>

namespace cassiaroad {

/** What the leader has seen of the heartbeats and the speed of upstreams. Pure; not thread-safe. */
class UpstreamMonitor
{
public:
    /** @p heartbeat is the usual time between two heartbeats. */
    explicit UpstreamMonitor(Milliseconds heartbeat)
        : heartbeat(heartbeat)
    { }

    /** Forgets everything; upstreams that are known count as heard of @p now. */
    void startTerm(TimePoint now);

    /** Returns whether @p report is later than those seen of its life. */
    bool accept(const UpstreamReport &report, TimePoint now);

    /** Notes that @p requests took @p duration in all, without waiting at the upstream. */
    void noteTiming(const std::string &id, std::uint32_t requests, Milliseconds duration);

    /** Whether heartbeats have stopped to arrive. */
    bool isSilent(const UpstreamIncarnation &life, TimePoint now) const;
    bool isWarming(const UpstreamIncarnation &life, TimePoint now) const;
    /** Time until the next heartbeat that arrives after @p earliest, at best. */
    Milliseconds nextReport(const UpstreamIncarnation &life, Milliseconds earliest,
                            TimePoint now) const;
    /** Smoothed duration of one request in milliseconds. */
    double serviceMilliseconds(const std::string &id) const;
    /** When the life was first heard of. */
    TimePoint firstSeen(const UpstreamIncarnation &life) const;

    void forget(const UpstreamIncarnation &life);

private:
    struct Seen
    {
        TimePoint first;
        TimePoint last;
        TimePoint warmUntil;
        std::uint64_t sequence = 0;
    };

    /** Mean duration of the requests that an upstream answered. */
    struct ServiceTime
    {
        double milliseconds = 0.0;
        double requests = 0.0; // that the mean is made of
    };

    double meanServiceMilliseconds() const;
    void setServiceTime(const std::string &id, const ServiceTime &time);
    TimePoint lastSeen(const UpstreamIncarnation &life) const;

    Milliseconds heartbeat;
    TimePoint termStart;
    std::map<UpstreamIncarnation, Seen> lives;
    std::map<std::string, ServiceTime> serviceTimes; // by id
    double allRequests = 0.0; // of serviceTimes
    double allMilliseconds = 0.0; // that these requests took in all
};

} // namespace cassiaroad
