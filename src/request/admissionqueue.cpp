#include "request/admissionqueue.h"

#include <algorithm>

namespace cassiaroad {

AdmissionQueue::AdmissionQueue(std::uint32_t length, Milliseconds time)
    : length(length)
    , time(time)
{ }

std::size_t AdmissionQueue::size() const
{
    std::size_t count = 0;
    for (const auto &lane : this->lanes) {
        count += lane.size();
    }
    return count;
}

std::size_t AdmissionQueue::aheadOf(Priority priority) const
{
    std::size_t count = 0;
    for (std::size_t lane = 0; lane <= static_cast<std::size_t>(priority); ++lane) {
        count += this->lanes[lane].size();
    }
    return count;
}

std::optional<RequestId> AdmissionQueue::takeLessImportant(Priority priority)
{
    for (std::size_t lane = this->lanes.size() - 1; lane > static_cast<std::size_t>(priority);
         --lane) {
        if (!this->lanes[lane].empty()) {
            const RequestId id = this->lanes[lane].back().id;
            this->lanes[lane].pop_back();
            return id;
        }
    }
    return std::nullopt;
}

Admission AdmissionQueue::add(RequestId id, Priority priority, const Deadline &deadline,
                              Milliseconds perRequest, Milliseconds duration, TimePoint now)
{
    const auto ahead = static_cast<std::int64_t>(this->aheadOf(priority));
    const Milliseconds wait = perRequest * (ahead + 1);
    if (!deadline.hasTimeFor(wait + duration, now)) {
        return Refused { "deadline cannot be met" };
    }
    if (wait > this->time) {
        return Refused { "queue is too slow" };
    }
    Admission result = Waiting {};
    if (this->size() >= this->length) {
        const std::optional<RequestId> displaced = this->takeLessImportant(priority);
        if (!displaced.has_value()) {
            return Refused { "queue is full" };
        }
        result = Displaced { *displaced };
    }
    this->lanes[static_cast<std::size_t>(priority)].push_back({ id, deadline, now });
    return result;
}

std::optional<RequestId> AdmissionQueue::takeNext()
{
    for (auto &lane : this->lanes) {
        if (!lane.empty()) {
            const RequestId id = lane.front().id;
            lane.pop_front();
            return id;
        }
    }
    return std::nullopt;
}

std::vector<RequestId> AdmissionQueue::takeExpired(TimePoint now)
{
    std::vector<RequestId> expired;
    for (auto &lane : this->lanes) {
        std::erase_if(lane, [&](const Entry &entry) {
            const bool late = now - entry.since >= this->time || entry.deadline.hasPassed(now);
            if (late) {
                expired.push_back(entry.id);
            }
            return late;
        });
    }
    return expired;
}

void AdmissionQueue::remove(RequestId id)
{
    for (auto &lane : this->lanes) {
        std::erase_if(lane, [&](const Entry &entry) { return entry.id == id; });
    }
}

void AdmissionQueue::setBounds(std::uint32_t newLength, Milliseconds newTime)
{
    this->length = newLength;
    this->time = newTime;
}

} // namespace cassiaroad
