#include "gateway/gatewayupstream.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace cassiaroad {

namespace {

// Requests that all gateways together have in flight to an upstream, per slot. The others wait in
// the gateways, where the most urgent go first.
constexpr double requestsPerSlot = 2.5;
// Share of its usual requests that an upstream gets while it is warming up.
constexpr double warmupCapacityFactor = 0.5;
// Requests in flight beyond the share of the gateway: while the upstream has not reported its load,
// and the upper bound while it reports free slots.
constexpr std::uint32_t extraWithoutLoad = 1;
constexpr std::uint32_t maxExtra = 3;
// Weight of a new sample in the smoothed values.
constexpr double smoothing = 0.15;
// A reported load that is older is ignored.
constexpr Milliseconds maxLoadAge { 1500 };
// How long an upstream is suspected; doubled with each further failure in a row.
constexpr Milliseconds minSuspicion { 400 };
constexpr Milliseconds maxSuspicion { 3000 };
constexpr std::uint32_t failuresBeforeSuspicion = 2;
// Failures that are further apart do not count as failures in a row: an upstream that gets few
// requests from this gateway may have responded to other gateways in the meantime.
constexpr Milliseconds maxFailureInterval { 4000 };
// A leaving upstream gets its last request at least this long before its drain period may end: time
// for the way of the request over a link that is about to be full.
constexpr Milliseconds minLastRequestMargin { 700 };
// Surcharges in milliseconds on the cost of an upstream in another zone of the region or in another
// region. Traffic between regions is slow and paid by volume.
constexpr double sameRegionCost = 3.0;
constexpr double otherRegionCost = 150.0;
constexpr double millisecondsPerSecond = 1000.0;
// A full upstream can take more while it has at least so many slots for each waiting request: a
// queue that is always empty would leave slots idle.
constexpr std::uint64_t slotsPerShortQueue = 4;
// What gateways send to a full upstream, as a multiple of what its slots can do. Gateways without a
// request lose their tokens, and an upstream whose queue runs empty leaves slots idle.
constexpr double fullRateFactor = 1.4;

double distanceCost(Distance distance)
{
    switch (distance) {
    case Distance::SameZone:
        return 0.0;
    case Distance::SameRegion:
        return sameRegionCost;
    case Distance::OtherRegion:
        return otherRegionCost;
    }
    return 0.0;
}

} // namespace

std::optional<ReportedLoad> parseLoad(std::string_view text, TimePoint now)
{
    ReportedLoad load;
    load.at = now;
    std::uint32_t *const fields[] = { &load.running, &load.waiting, &load.slots };
    const char *position = text.data();
    const char *const end = text.data() + text.size();
    for (std::uint32_t *field : fields) {
        const auto [stop, error] = std::from_chars(position, end, *field);
        if (error != std::errc()) {
            return std::nullopt;
        }
        position = stop == end ? end : stop + 1;
    }
    return load;
}

GatewayUpstream::GatewayUpstream(RoutedUpstream routed, Distance distance, double pacePhase)
    : routed(std::move(routed))
    , distance(distance)
    , requestPace(pacePhase)
{
    this->timing.upstream = this->routed.upstream.incarnation.id;
}

void GatewayUpstream::setRouted(const RoutedUpstream &value, TimePoint previousTableAt)
{
    const bool isReady = value.upstream.phase == UpstreamPhase::Ready;
    if (isReady) {
        this->leavingSince.reset();
    } else if (!this->leavingSince) {
        this->leavingSince = previousTableAt;
    }
    this->routed = value;
}

// Connections that were opened while no rate was stated have told nothing.
void GatewayUpstream::setColdByTable(std::optional<TimePoint> until, TimePoint now)
{
    if (until && !this->coldByTableUntil) {
        this->distrustConnections(now);
    }
    this->coldByTableUntil = until;
}

bool GatewayUpstream::hasLeft(TimePoint now, Milliseconds drainPeriod,
                              Milliseconds connectTime) const
{
    const Milliseconds margin = std::max(minLastRequestMargin, connectTime);
    const TimePoint lastLeave = now - (drainPeriod - margin);
    return (this->leavingSince && *this->leavingSince < lastLeave)
           || (this->saidLeavingAt && *this->saidLeavingAt < lastLeave);
}

void GatewayUpstream::recordLeaving(TimePoint now)
{
    if (!this->saidLeavingAt) {
        this->saidLeavingAt = now;
    }
}

void GatewayUpstream::recordPause(Milliseconds duration, TimePoint now)
{
    this->pausedUntil = std::max(this->pausedUntil, now + duration);
}

Milliseconds GatewayUpstream::pauseLeft(TimePoint now) const
{
    return std::max(this->pausedUntil - now, Milliseconds {});
}

bool GatewayUpstream::isLeaving() const
{
    return this->saidLeavingAt || this->routed.upstream.phase != UpstreamPhase::Ready;
}

bool GatewayUpstream::isLeavingToReport() const
{
    return this->saidLeavingAt && this->routed.upstream.phase == UpstreamPhase::Ready;
}

void GatewayUpstream::setShare(double value, double roundingOffset)
{
    this->trafficShare = value;
    const double capacityFactor = this->routed.warming ? warmupCapacityFactor : 1.0;
    const double capacity = value * requestsPerSlot * capacityFactor * this->routed.upstream.slots;
    this->share = std::max<std::uint32_t>(
            1, static_cast<std::uint32_t>(std::floor(capacity + roundingOffset)));
    this->updateCapacity();
}

// While the upstream reports free slots, the gateway may use some beyond its share. It uses only a
// part of them, since gateways do not see each other and may all do so at once.
void GatewayUpstream::updateCapacity()
{
    std::uint32_t extra = extraWithoutLoad;
    if (this->load) {
        const std::uint32_t used = this->load->running + this->load->waiting;
        const std::uint32_t free = this->load->slots > used ? this->load->slots - used : 0;
        extra = std::min(free / 2, maxExtra);
    }
    this->requests.setCapacity(this->share + extra);
}

void GatewayUpstream::recordResponse(Milliseconds duration,
                                     const std::optional<ReportedLoad> &reported, TimePoint now)
{
    this->lastResponseAt = now;
    this->failuresInRow = 0;
    this->suspectedUntil = {};
    this->errorShare *= 1.0 - smoothing;
    if (reported) {
        this->load = reported;
        this->inFlightAtReport = this->requests.inFlight();
        this->updateCapacity();
    }
    // The duration includes the wait for requests that were ahead in the upstream's queue.
    const bool isLoadKnown = reported && reported->slots > 0;
    const double rounds
            = isLoadKnown ? 1.0 + static_cast<double>(reported->waiting) / reported->slots : 1.0;
    const double sample = static_cast<double>(duration.count) / rounds;
    this->serviceMilliseconds += (sample - this->serviceMilliseconds)
                                 * (this->serviceMilliseconds == 0.0 ? 1.0 : smoothing);
    this->updateFullRate(now);
    this->requestPace.recordResponse(
            isLoadKnown && reported->waiting * slotsPerShortQueue <= reported->slots, now);
    if (this->distance != Distance::OtherRegion) {
        ++this->timing.requests;
        this->timing.milliseconds += static_cast<std::uint64_t>(sample);
    }
}

// Number of failures in a row, with one of an attempt that began at @p sentAt; 0 if that one does
// not count.
std::uint32_t GatewayUpstream::failuresInRowWith(TimePoint sentAt, TimePoint now) const
{
    // An upstream that has responded to another request in the meantime is slow, not unavailable.
    if (this->lastResponseAt > sentAt) {
        return 0;
    }
    const bool isInRow = now - this->lastFailureAt <= maxFailureInterval;
    return isInRow ? this->failuresInRow + 1 : 1;
}

bool GatewayUpstream::wouldBeSuspected(TimePoint sentAt, TimePoint now) const
{
    return this->failuresInRowWith(sentAt, now) >= failuresBeforeSuspicion;
}

void GatewayUpstream::recordFailure(TimePoint sentAt, TimePoint now)
{
    const std::uint32_t failures = this->failuresInRowWith(sentAt, now);
    if (failures == 0) {
        return;
    }
    this->lastFailureAt = now;
    this->failuresInRow = failures;
    if (this->failuresInRow < failuresBeforeSuspicion) {
        return;
    }
    const std::uint32_t doublings
            = std::min<std::uint32_t>(this->failuresInRow - failuresBeforeSuspicion, 4);
    const Milliseconds suspicion
            = std::min(minSuspicion * (std::int64_t(1) << doublings), maxSuspicion);
    this->suspectedUntil = now + suspicion;
}

// What this gateway may send to the upstream while it is full: its share of what the slots handle.
void GatewayUpstream::updateFullRate(TimePoint now)
{
    const double service = this->serviceMilliseconds > 0.0
                                   ? this->serviceMilliseconds
                                   : static_cast<double>(this->requests.typicalDuration().count);
    const double slots = std::max<double>(this->routed.upstream.slots, 1.0);
    this->requestPace.setFullRate(fullRateFactor * this->trafficShare * slots
                                          * millisecondsPerSecond / std::max(service, 1.0),
                                  now);
}

void GatewayUpstream::recordRefused(TimePoint now)
{
    this->updateFullRate(now);
    this->requestPace.recordRefused(now);
}

void GatewayUpstream::recordFull(TimePoint now)
{
    const std::uint32_t slots = this->routed.upstream.slots;
    this->load = ReportedLoad { slots, slots, slots, now };
    this->inFlightAtReport = this->requests.inFlight();
    this->updateCapacity();
}

void GatewayUpstream::recordError(TimePoint /*now*/)
{
    this->errorShare += (1.0 - this->errorShare) * smoothing;
}

// Requests at the upstream, of all gateways: the reported ones, corrected by the change of this
// gateway's own requests since the report.
double GatewayUpstream::usedSlots(TimePoint now) const
{
    const double own = this->requests.inFlight();
    if (!this->load || now - this->load->at > maxLoadAge) {
        return own;
    }
    const double reported = this->load->running + this->load->waiting;
    return std::max(own, reported + own - this->inFlightAtReport);
}

double GatewayUpstream::cost(TimePoint now, double usualMilliseconds) const
{
    const double service
            = this->serviceMilliseconds > 0.0 ? this->serviceMilliseconds : usualMilliseconds;
    const double slots = std::max<double>(this->routed.upstream.slots, 1.0);
    const auto waiting = static_cast<double>(this->requests.waitingCount());
    const double queue = std::max(1.0, (this->usedSlots(now) + waiting + 1.0) / slots);
    // Failed responses arrive quickly, but their requests need further attempts, which take time.
    const double errors = 1.0 + 4.0 * this->errorShare;
    const double warming = this->routed.warming ? 1.0 / warmupCapacityFactor : 1.0;
    return service * queue * errors * warming + distanceCost(this->distance);
}

UpstreamTiming GatewayUpstream::takeTiming()
{
    UpstreamTiming taken = this->timing;
    this->timing.requests = 0;
    this->timing.milliseconds = 0;
    return taken;
}

} // namespace cassiaroad
