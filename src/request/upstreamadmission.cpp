#include "request/upstreamadmission.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr std::uint32_t initialCapacity = 2;
constexpr std::size_t maxWaiting = 200;

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

Milliseconds UpstreamAdmission::expectedResponseTime(std::uint32_t priority) const
{
    const Milliseconds typical = this->typicalDuration();
    if (this->limit.hasCapacity()) {
        return typical;
    }
    const auto ahead
            = std::distance(this->waiting.begin(), this->waiting.lower_bound({ priority + 1, 0 }));
    return typical + typical * (ahead + 1) / static_cast<std::int64_t>(this->limit.limit());
}

AdmissionDecision UpstreamAdmission::submit(const AdmissionRequest &admissionRequest, TimePoint now)
{
    this->defaultDuration = admissionRequest.defaultDuration;
    if (now >= admissionRequest.responseDeadline) {
        return AdmissionDecision::Refuse;
    }
    if (this->hasCapacity()) {
        this->limit.start();
        return AdmissionDecision::Start;
    }
    if (this->waiting.size() >= maxWaiting
        || now + this->expectedResponseTime(admissionRequest.priority)
                   > admissionRequest.responseDeadline) {
        return AdmissionDecision::Refuse;
    }
    this->waiting.emplace(QueuePosition { admissionRequest.priority, admissionRequest.id },
                          admissionRequest);
    return AdmissionDecision::Wait;
}

std::optional<GatewayRequestId> UpstreamAdmission::next()
{
    if (this->waiting.empty() || !this->limit.hasCapacity()) {
        return std::nullopt;
    }
    const GatewayRequestId id = this->waiting.begin()->second.id;
    this->waiting.erase(this->waiting.begin());
    this->limit.start();
    return id;
}

std::vector<GatewayRequestId> UpstreamAdmission::takeWaiting()
{
    std::vector<GatewayRequestId> ids;
    for (const auto &[position, request] : std::exchange(this->waiting, {})) {
        ids.push_back(request.id);
    }
    return ids;
}

void UpstreamAdmission::remove(GatewayRequestId id)
{
    std::erase_if(this->waiting, [&](const auto &entry) { return entry.second.id == id; });
}

} // namespace cassiaroad
