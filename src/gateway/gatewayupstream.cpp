#include "gateway/gatewayupstream.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace cassiaroad {

namespace {

// Requests that all gateways together keep at an upstream, for each of its slots. The rest waits
// in the gateways, where the most urgent goes first.
constexpr double requestsPerSlot = 2.5;
constexpr double warmingPart = 0.5;
constexpr std::uint32_t unknownLoadExtra = 1;
constexpr std::uint32_t mostExtra = 3;
constexpr double smoothing = 0.15;
constexpr double defaultMilliseconds = 100.0;
constexpr Milliseconds loadMaxAge { 1500 };
constexpr Milliseconds shortestSuspicion { 400 };
constexpr Milliseconds longestSuspicion { 3000 };
constexpr std::uint32_t failuresBeforeSuspicion = 2;
// An upstream that gets few requests from this gateway may have answered others in the meantime.
constexpr Milliseconds failuresBelongTogether { 4000 };
// An upstream that has announced its end serves on for 2.5 s at least; this gateway learns of it
// some time later.
constexpr Milliseconds leavingGracePeriod { 1500 };
// Traffic between regions is slow and paid by volume.
constexpr double sameRegionMilliseconds = 3.0;
constexpr double otherRegionMilliseconds = 150.0;

double distanceCost(Distance distance)
{
    switch (distance) {
    case Distance::SameZone:
        return 0.0;
    case Distance::SameRegion:
        return sameRegionMilliseconds;
    case Distance::OtherRegion:
        return otherRegionMilliseconds;
    }
    return 0.0;
}

} // namespace

std::optional<ToldLoad> parseLoad(std::string_view text, TimePoint now)
{
    ToldLoad load;
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

GatewayUpstream::GatewayUpstream(RoutedUpstream routed, Distance distance)
    : routed(std::move(routed))
    , distance(distance)
{
    this->timing.upstream = this->routed.upstream.life.id;
}

void GatewayUpstream::setRouted(const RoutedUpstream &value, TimePoint now)
{
    const bool isReady = value.upstream.phase == UpstreamPhase::Ready;
    if (isReady) {
        this->leavingSince.reset();
    } else if (!this->leavingSince) {
        this->leavingSince = now;
    }
    this->routed = value;
}

bool GatewayUpstream::hasLeft(TimePoint now) const
{
    return this->leavingSince && now - *this->leavingSince > leavingGracePeriod;
}

void GatewayUpstream::setShare(double trafficShare, double dither)
{
    const double part = this->routed.warming ? warmingPart : 1.0;
    const double capacity = trafficShare * requestsPerSlot * part * this->routed.upstream.slots;
    this->share
            = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::floor(capacity + dither)));
    this->updateCapacity();
}

// While the upstream tells of free slots, the gateway may use some beyond its share. Gateways do
// not see each other and may all do so at once, so it is only a part of them.
void GatewayUpstream::updateCapacity()
{
    std::uint32_t extra = unknownLoadExtra;
    if (this->load) {
        const std::uint32_t busy = this->load->running + this->load->waiting;
        const std::uint32_t free = this->load->slots > busy ? this->load->slots - busy : 0;
        extra = std::min(free / 2, mostExtra);
    }
    this->requests.setCapacity(this->share + extra);
}

void GatewayUpstream::recordResponse(Milliseconds duration, const std::optional<ToldLoad> &told,
                                     TimePoint now)
{
    this->answeredAt = now;
    this->failuresInRow = 0;
    this->suspectedUntil = {};
    this->errorShare *= 1.0 - smoothing;
    if (told) {
        this->load = told;
        this->inFlightAtLoad = this->requests.inFlight();
        this->updateCapacity();
    }
    // Requests ahead in the upstream's queue take their share of the duration.
    const bool queues = told && told->slots > 0;
    const double turns = queues ? 1.0 + static_cast<double>(told->waiting) / told->slots : 1.0;
    const double sample = static_cast<double>(duration.count) / turns;
    this->serviceMilliseconds += (sample - this->serviceMilliseconds)
                                 * (this->serviceMilliseconds == 0.0 ? 1.0 : smoothing);
    if (this->distance != Distance::OtherRegion) {
        ++this->timing.requests;
        this->timing.milliseconds += static_cast<std::uint64_t>(sample);
    }
}

void GatewayUpstream::noteFailure(TimePoint sentAt, TimePoint now)
{
    // An upstream that has answered another request meanwhile is busy, not gone.
    if (this->answeredAt > sentAt) {
        return;
    }
    if (now - this->failedAt > failuresBelongTogether) {
        this->failuresInRow = 0;
    }
    this->failedAt = now;
    ++this->failuresInRow;
    if (this->failuresInRow < failuresBeforeSuspicion) {
        return;
    }
    const std::uint32_t doublings
            = std::min<std::uint32_t>(this->failuresInRow - failuresBeforeSuspicion, 4);
    const Milliseconds span
            = std::min(shortestSuspicion * (std::int64_t(1) << doublings), longestSuspicion);
    this->suspectedUntil = now + span;
}

void GatewayUpstream::noteError(TimePoint /*now*/)
{
    this->errorShare += (1.0 - this->errorShare) * smoothing;
}

double GatewayUpstream::busySlots(TimePoint now) const
{
    const double own = this->requests.inFlight();
    if (!this->load || now - this->load->at > loadMaxAge) {
        return own;
    }
    const double told = this->load->running + this->load->waiting;
    return std::max(own, told + own - this->inFlightAtLoad);
}

double GatewayUpstream::cost(TimePoint now) const
{
    const double service
            = this->serviceMilliseconds > 0.0 ? this->serviceMilliseconds : defaultMilliseconds;
    const double slots = std::max<double>(this->routed.upstream.slots, 1.0);
    const auto waiting = static_cast<double>(this->requests.waitingCount());
    const double queue = std::max(1.0, (this->busySlots(now) + waiting + 1.0) / slots);
    // A part of the requests fails at once; they take the time of further attempts.
    const double errors = 1.0 + 4.0 * this->errorShare;
    const double warming = this->routed.warming ? 1.0 / warmingPart : 1.0;
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
