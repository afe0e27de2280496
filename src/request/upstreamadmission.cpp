#include "request/upstreamadmission.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr std::uint32_t firstCapacity = 2;
constexpr std::size_t mostWaiting = 200;

} // namespace

UpstreamAdmission::UpstreamAdmission()
    : limit(firstCapacity, firstCapacity)
{ }

void UpstreamAdmission::setCapacity(std::uint32_t capacity)
{
    this->limit.setMaxLimit(capacity);
    this->limit.widen();
}

Milliseconds UpstreamAdmission::typicalDuration() const
{
    const Milliseconds typical = this->limit.typicalDuration();
    return typical.count > 0 ? typical : this->usual;
}

Milliseconds UpstreamAdmission::expectedAnswer(std::uint32_t priority) const
{
    const Milliseconds typical = this->typicalDuration();
    if (this->limit.hasRoom()) {
        return typical;
    }
    const auto ahead
            = std::distance(this->waiting.begin(), this->waiting.lower_bound({ priority + 1, 0 }));
    return typical + typical * (ahead + 1) / static_cast<std::int64_t>(this->limit.limit());
}

AdmissionDecision UpstreamAdmission::enter(const AdmissionRequest &ticket, TimePoint now)
{
    this->usual = ticket.usual;
    if (now >= ticket.responseDeadline) {
        return AdmissionDecision::Refuse;
    }
    if (this->hasRoom()) {
        this->limit.start();
        return AdmissionDecision::Start;
    }
    if (this->waiting.size() >= mostWaiting
        || now + this->expectedAnswer(ticket.priority) > ticket.responseDeadline) {
        return AdmissionDecision::Refuse;
    }
    this->waiting.emplace(Place { ticket.priority, ticket.id }, ticket);
    return AdmissionDecision::Wait;
}

std::optional<GatewayRequestId> UpstreamAdmission::next()
{
    if (this->waiting.empty() || !this->limit.hasRoom()) {
        return std::nullopt;
    }
    const GatewayRequestId id = this->waiting.begin()->second.id;
    this->waiting.erase(this->waiting.begin());
    this->limit.start();
    return id;
}

void UpstreamAdmission::remove(GatewayRequestId id)
{
    std::erase_if(this->waiting, [&](const auto &entry) { return entry.second.id == id; });
}

} // namespace cassiaroad
