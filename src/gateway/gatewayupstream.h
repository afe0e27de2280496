#pragma once

#include "request/upstreamadmission.h"
#include "version/routingtable.h"
#include "version/sitewatch.h"

namespace cassiaroad {

/** Load that an upstream told with an answer. */
struct ToldLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    TimePoint at;

    bool operator==(const ToldLoad &) const = default;
};

/** Reads "running,waiting,slots". */
std::optional<ToldLoad> parseLoad(std::string_view text, TimePoint now);

/** Where an upstream stands, as seen from a gateway. */
enum class Distance { SameZone, SameRegion, OtherRegion };

/** What a gateway knows of one upstream. Pure; not thread-safe. */
class GatewayUpstream
{
public:
    GatewayUpstream(RoutedUpstream routed, Distance distance);

    const SiteUpstream &upstream() const { return this->routed.upstream; }
    /** Takes what the leader tells of it at @p now. */
    void setRouted(const RoutedUpstream &value, TimePoint now);
    /** Whether it has announced its end so long ago that it gets no requests any more. */
    bool hasLeft(TimePoint now) const;
    /**
     * Sets the part of the upstream's slots that this gateway may use. @p dither, from 0 to 1,
     * differs between gateways, so that their whole numbers add up to the slots.
     */
    void setShare(double trafficShare, double dither);

    UpstreamAdmission &admission() { return this->requests; }
    const UpstreamAdmission &admission() const { return this->requests; }

    /** An answer arrived @p duration after the request was sent. */
    void recordResponse(Milliseconds duration, const std::optional<ToldLoad> &load, TimePoint now);
    /** A connection could not be opened since @p sentAt, or a request got no answer in time. */
    void noteFailure(TimePoint sentAt, TimePoint now);
    /** The answer was a failure of the upstream's own. */
    void noteError(TimePoint now);

    /** Another upstream has answered at its address. */
    void markReplaced() { this->replaced = true; }
    bool isReplaced() const { return this->replaced; }

    /** Whether requests should rather go to others. */
    bool isSuspected(TimePoint now) const { return now < this->suspectedUntil; }

    /** Expected time for one more request in milliseconds; smaller is better. */
    double cost(TimePoint now) const;

    /** Returns the timings since the previous call. */
    UpstreamTiming takeTiming();

private:
    double busySlots(TimePoint now) const;
    void updateCapacity();

    RoutedUpstream routed;
    Distance distance;
    UpstreamAdmission requests;
    std::uint32_t share = 1; // requests in flight that this gateway may always have
    std::optional<ToldLoad> load;
    std::uint32_t inFlightAtLoad = 0;
    double serviceMilliseconds = 0.0; // smoothed; without the wait in the upstream's queue
    double errorShare = 0.0; // smoothed
    TimePoint answeredAt; // the last time
    std::uint32_t failuresInRow = 0;
    TimePoint failedAt; // the last time
    TimePoint suspectedUntil;
    bool replaced = false;
    std::optional<TimePoint> leavingSince; // when this gateway learned of it
    UpstreamTiming timing;
};

} // namespace cassiaroad
