#include "request/upstreamadmission.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr std::uint32_t initialCapacity = 2;
constexpr std::size_t maxWaiting = 200;
// Refused requests whose retries are counted. More of them spread over the same time, which is
// longer than most clients wait.
constexpr std::size_t maxRetries = 200;
constexpr Milliseconds minRetryAfter { 50 };

} // namespace

UpstreamAdmission::UpstreamAdmission()
    : limit(initialCapacity, initialCapacity)
{ }

void UpstreamAdmission::setCapacity(std::uint32_t capacity)
{
    this->limit.setMaxLimit(capacity);
    this->limit.raiseToMaxLimit();
}

Milliseconds UpstreamAdmission::typicalDuration() const
{
    const Milliseconds typical = this->limit.typicalDuration();
    return typical.count > 0 ? typical : this->defaultDuration;
}

// Time in which the upstream completes so many requests of this gateway.
Milliseconds UpstreamAdmission::timeToServe(std::size_t requests) const
{
    return this->typicalDuration() * static_cast<std::int64_t>(requests)
           / static_cast<std::int64_t>(this->limit.limit());
}

Milliseconds UpstreamAdmission::expectedResponseTime(std::uint32_t priority) const
{
    const Milliseconds typical = this->typicalDuration();
    if (this->limit.hasCapacity()) {
        return typical;
    }
    return typical + this->timeToServe(this->waiting.countUpTo(priority) + 1);
}

AdmissionDecision UpstreamAdmission::submit(const AdmissionRequest &admissionRequest, TimePoint now)
{
    this->lastEventAt = now;
    this->defaultDuration = admissionRequest.defaultDuration;
    if (now >= admissionRequest.responseDeadline) {
        return AdmissionDecision::Refuse;
    }
    if (this->hasCapacity()) {
        this->limit.start();
        return AdmissionDecision::Start;
    }
    this->waiting.add(admissionRequest);
    const std::vector<AdmissionRequest> order = this->waiting.ordered(now);
    const auto place = std::find_if(order.begin(), order.end(), [&](const auto &entry) {
        return entry.id == admissionRequest.id;
    });
    const auto ahead = static_cast<std::size_t>(std::distance(order.begin(), place));
    const Milliseconds untilResponse = this->typicalDuration() + this->timeToServe(ahead + 1);
    if (ahead >= maxWaiting || now + untilResponse > admissionRequest.responseDeadline) {
        this->waiting.remove(admissionRequest.id);
        return AdmissionDecision::Refuse;
    }
    return AdmissionDecision::Wait;
}

std::optional<GatewayRequestId> UpstreamAdmission::next()
{
    if (this->waiting.empty() || !this->limit.hasCapacity()) {
        return std::nullopt;
    }
    this->limit.start();
    return this->waiting.takeFirst(this->lastEventAt)->id;
}

std::vector<GatewayRequestId> UpstreamAdmission::takeLate(TimePoint now)
{
    this->lastEventAt = now;
    std::vector<GatewayRequestId> late;
    if (this->waiting.empty()) {
        return late;
    }
    // The first one may start at any moment, and then takes the typical duration. With a shorter
    // estimate, requests would be started that end late.
    const Milliseconds typical = this->typicalDuration();
    std::size_t ahead = 0;
    for (const AdmissionRequest &request : this->waiting.ordered(now)) {
        const TimePoint respondedAt = now + typical + this->timeToServe(ahead);
        if (ahead >= maxWaiting || respondedAt > request.responseDeadline) {
            late.push_back(request.id);
        } else {
            ++ahead;
        }
    }
    for (const GatewayRequestId id : late) {
        this->waiting.remove(id);
    }
    return late;
}

Milliseconds UpstreamAdmission::drawRetryAfter(std::uint32_t priority, Milliseconds longest,
                                               TimePoint now, std::mt19937_64 &random)
{
    std::erase_if(this->retries, [now](const ExpectedRetry &retry) { return retry.at <= now; });
    const auto sooner = std::count_if(
            this->retries.begin(), this->retries.end(),
            [priority](const ExpectedRetry &retry) { return retry.priority <= priority; });
    const Milliseconds typical = this->typicalDuration();
    const Milliseconds untilRoom
            = std::max({ typical, this->expectedResponseTime(priority) - typical, minRetryAfter });
    const Milliseconds untilServed
            = untilRoom + this->timeToServe(static_cast<std::size_t>(sooner) + 1);
    const Milliseconds latest = std::max(std::min(untilServed, longest), Milliseconds {});
    // Where the client cannot wait for that long, the retries are spread over what it can wait.
    const Milliseconds earliest
            = untilServed <= longest ? untilRoom : std::min(untilRoom, latest / 2);
    std::uniform_int_distribution<std::int64_t> draw(earliest.count, latest.count);
    const Milliseconds retryAfter { draw(random) };
    if (this->retries.size() < maxRetries) {
        this->retries.push_back({ now + retryAfter, priority });
    }
    return retryAfter;
}

std::vector<GatewayRequestId> UpstreamAdmission::takeWaiting()
{
    std::vector<GatewayRequestId> ids;
    for (const AdmissionRequest &request : this->waiting.takeAll(this->lastEventAt)) {
        ids.push_back(request.id);
    }
    return ids;
}

void UpstreamAdmission::remove(GatewayRequestId id)
{
    this->waiting.remove(id);
}

} // namespace cassiaroad
