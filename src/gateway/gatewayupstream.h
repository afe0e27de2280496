#pragma once

#include "request/upstreamadmission.h"
#include "request/upstreampace.h"
#include "version/routingtable.h"
#include "version/sitewatch.h"

namespace cassiaroad {

/** Load that an upstream reported in a header of a response. */
struct ReportedLoad
{
    std::uint32_t running = 0; // requests that it processes
    std::uint32_t waiting = 0; // requests in its queue
    std::uint32_t slots = 0; // requests that it can process at the same time
    TimePoint at; // when the response arrived

    bool operator==(const ReportedLoad &) const = default;
};

/** Parses "running,waiting,slots". Returns nothing if @p text is malformed. */
std::optional<ReportedLoad> parseLoad(std::string_view text, TimePoint now);

/** Location of an upstream relative to a gateway. */
enum class Distance { SameZone, SameRegion, OtherRegion };

/**
 * State of one upstream at a gateway: its entry in the routing table, the requests in flight and
 * waiting, and its load, duration and failures as seen here. Pure; not thread-safe.
 */
class GatewayUpstream
{
public:
    /** Assumed duration of a request while none was measured at any upstream. */
    static constexpr double defaultServiceMilliseconds = 100.0;

    /** @p pacePhase: see UpstreamPace. */
    GatewayUpstream(RoutedUpstream routed, Distance distance, double pacePhase = 0.5);

    const SiteUpstream &upstream() const { return this->routed.upstream; }
    Distance distanceFromGateway() const { return this->distance; }
    /**
     * Applies the upstream's entry of a routing table. What is new in it has happened after
     * @p previousTableAt, when the leader confirmed the previous table.
     */
    void setRouted(const RoutedUpstream &value, TimePoint previousTableAt);
    /** Sets whether the upstream's zone is evacuated, so that it gets no requests. */
    void setEvacuated(bool value) { this->evacuated = value; }
    bool isEvacuated() const { return this->evacuated; }
    /** Whether it may get requests that no key binds to it. */
    bool mayBeGivenWork() const
    {
        return !this->saidLeavingAt && !this->replaced
               && cassiaroad::mayBeGivenWork(this->routed.upstream, this->evacuated);
    }
    /**
     * Whether it may have announced its shutdown so long ago that it no longer gets requests.
     * @p drainPeriod is how long upstreams serve after an announcement, @p connectTime how long a
     * connection takes to open now, as a request takes to arrive at most.
     */
    bool hasLeft(TimePoint now, Milliseconds drainPeriod, Milliseconds connectTime) const;
    /** Records that it has said in a response that it leaves. It cannot take that back. */
    void recordLeaving(TimePoint now);
    /** Records that it wants no further request of this gateway for @p duration. */
    void recordPause(Milliseconds duration, TimePoint now);
    /** Time left of the pause that it has asked for; 0 if there is none. */
    Milliseconds pauseLeft(TimePoint now) const;
    bool isPaused(TimePoint now) const { return now < this->pausedUntil; }
    /** Whether it leaves, as the routing table tells or as it has said itself. */
    bool isLeaving() const;
    /** Whether it has said something that holds on, whether the routing table lists it or not. */
    bool hasNotice(TimePoint now) const { return this->saidLeavingAt || this->isPaused(now); }
    /** Whether it has said that it leaves, and the routing table does not tell so. */
    bool isLeavingToReport() const;
    bool hasSaidThatItLeaves() const { return this->saidLeavingAt.has_value(); }
    /**
     * Sets the share of this gateway in the requests of all gateways, and so in the upstream's
     * slots. The number of slots is rounded down after @p roundingOffset is added. The offsets,
     * from 0 to 1, differ between gateways, so that the numbers of all gateways add up to the
     * slots.
     */
    void setShare(double value, double roundingOffset);
    bool isWarming() const { return this->routed.warming; }
    /**
     * Sets until when it is cold by the routing table, if its service states what a cold upstream
     * can handle. Nothing: the service does not state it.
     */
    void setColdByTable(std::optional<TimePoint> until, TimePoint now);
    /** See setColdByTable(). */
    std::optional<TimePoint> coldByTable() const { return this->coldByTableUntil; }
    /** Term of the last table that has marked it as warming up. */
    std::uint64_t coldTerm() const { return this->coldMarkTerm; }
    void setColdTerm(std::uint64_t term) { this->coldMarkTerm = term; }
    /** Records that it is cold until @p until, as it has said on a connection. */
    void recordCold(TimePoint until) { this->saidColdUntil = std::max(this->saidColdUntil, until); }
    /** Whether its service states what a cold upstream can handle, and it is cold. */
    bool isCold(TimePoint now) const
    {
        return this->coldByTableUntil
               && (now < *this->coldByTableUntil || now < this->saidColdUntil);
    }
    /** Whether its service states what a cold upstream can handle. */
    bool hasColdLimit() const { return this->coldByTableUntil.has_value(); }
    /**
     * What connections that were opened before @p now have told no longer holds: it may have become
     * cold since.
     */
    void distrustConnections(TimePoint now) { this->connectionsFrom = now; }
    /** When connections were opened that may be used. */
    TimePoint trustedConnectionsFrom() const { return this->connectionsFrom; }
    /** See RoutedUpstream::admitted. */
    std::optional<std::uint16_t> admitted() const { return this->routed.admitted; }

    /** When requests may be started, beyond what the admission allows. */
    UpstreamPace &pace() { return this->requestPace; }
    const UpstreamPace &pace() const { return this->requestPace; }
    /** Time until it may get a request of this gateway, by its pause and its pace. */
    Milliseconds timeLeft(TimePoint now) const
    {
        return std::max(this->pauseLeft(now), this->requestPace.timeLeft(now));
    }

    UpstreamAdmission &admission() { return this->requests; }
    const UpstreamAdmission &admission() const { return this->requests; }

    /** Records a response that arrived @p duration after its request was sent. */
    void recordResponse(Milliseconds duration, const std::optional<ReportedLoad> &load,
                        TimePoint now);
    /** Records that an attempt begun at @p sentAt got no connection, or no response in time. */
    void recordFailure(TimePoint sentAt, TimePoint now);
    /** Whether recordFailure() would make other upstreams preferred; see isSuspected(). */
    bool wouldBeSuspected(TimePoint sentAt, TimePoint now) const;
    /** Records that it has refused a request, which did not run, because it is full. */
    void recordRefused(TimePoint now);
    /** Records that it has refused a connection because all its capacity is in use. */
    void recordFull(TimePoint now);
    /** Records a response that reports a failure of the upstream itself. */
    void recordError(TimePoint now);

    /** Another upstream has responded at its address: it gets no more requests. */
    void markReplaced() { this->replaced = true; }
    bool isReplaced() const { return this->replaced; }

    /** Whether other upstreams are preferred, since this one has failed several times in a row. */
    bool isSuspected(TimePoint now) const { return now < this->suspectedUntil; }

    /**
     * Expected time for one more request in milliseconds, with surcharges for failures, for warming
     * up and for the distance. Upstreams with a lower cost are preferred. @p usualMilliseconds is
     * assumed as the duration of its requests while none was measured.
     */
    double cost(TimePoint now, double usualMilliseconds = defaultServiceMilliseconds) const;

    /** Smoothed duration of one request without the wait in its queue; 0 if none was measured. */
    double measuredMilliseconds() const { return this->serviceMilliseconds; }

    /** Returns and resets the number and duration of the requests since the previous call. */
    UpstreamTiming takeTiming();

private:
    double usedSlots(TimePoint now) const;
    void updateCapacity();
    void updateFullRate(TimePoint now);
    std::uint32_t failuresInRowWith(TimePoint sentAt, TimePoint now) const;

    RoutedUpstream routed;
    Distance distance;
    UpstreamAdmission requests;
    UpstreamPace requestPace;
    double trafficShare = 1.0; // of this gateway in the requests of all
    std::uint32_t share = 1; // requests in flight that are always allowed
    std::optional<ReportedLoad> load;
    std::uint32_t inFlightAtReport = 0; // requests of this gateway when `load` arrived
    double serviceMilliseconds = 0.0; // smoothed; without the wait in the upstream's queue
    double errorShare = 0.0; // share of failed responses, smoothed
    TimePoint lastResponseAt;
    std::uint32_t failuresInRow = 0;
    TimePoint lastFailureAt;
    TimePoint suspectedUntil;
    std::optional<TimePoint> coldByTableUntil; // nothing: its service states no rate
    std::uint64_t coldMarkTerm = 0;
    TimePoint saidColdUntil; // on a connection
    TimePoint connectionsFrom; // earlier ones are not used while its service states a rate
    bool replaced = false;
    bool evacuated = false; // its zone is
    std::optional<TimePoint> leavingSince; // it announced its shutdown then or later
    TimePoint pausedUntil;
    std::optional<TimePoint> saidLeavingAt; // its first response that said so arrived then
    UpstreamTiming timing;
};

} // namespace cassiaroad
