#include "request/admissionqueue.h"

#include <algorithm>

namespace cassiaroad {

AdmissionQueue::AdmissionQueue(std::uint32_t maxLength, Milliseconds maxWait)
    : maxLength(maxLength)
    , maxWait(maxWait)
{ }

std::size_t AdmissionQueue::size() const
{
    std::size_t count = 0;
    for (const auto &queue : this->queues) {
        count += queue.size();
    }
    return count;
}

// Number of requests that start before a new one of this priority.
std::size_t AdmissionQueue::countAhead(Priority priority) const
{
    std::size_t count = 0;
    for (std::size_t queue = 0; queue <= static_cast<std::size_t>(priority); ++queue) {
        count += this->queues[queue].size();
    }
    return count;
}

// Removes and returns the last request of the lowest priority below @p priority.
std::optional<RequestId> AdmissionQueue::takeLessImportant(Priority priority)
{
    for (std::size_t queue = this->queues.size() - 1; queue > static_cast<std::size_t>(priority);
         --queue) {
        if (!this->queues[queue].empty()) {
            const RequestId id = this->queues[queue].back().id;
            this->queues[queue].pop_back();
            return id;
        }
    }
    return std::nullopt;
}

Admission AdmissionQueue::add(RequestId id, Priority priority, const Deadline &deadline,
                              Milliseconds startInterval, Milliseconds duration, TimePoint now)
{
    const auto ahead = static_cast<std::int64_t>(this->countAhead(priority));
    const Milliseconds wait = startInterval * (ahead + 1);
    if (!deadline.hasTimeFor(wait + duration, now)) {
        return Refused { "deadline cannot be met" };
    }
    if (wait > this->maxWait) {
        return Refused { "queue is too slow" };
    }
    Admission result = Waiting {};
    if (this->size() >= this->maxLength) {
        const std::optional<RequestId> displaced = this->takeLessImportant(priority);
        if (!displaced.has_value()) {
            return Refused { "queue is full" };
        }
        result = Displaced { *displaced };
    }
    this->queues[static_cast<std::size_t>(priority)].push_back({ id, deadline, now });
    return result;
}

std::optional<RequestId> AdmissionQueue::takeNext()
{
    for (auto &queue : this->queues) {
        if (!queue.empty()) {
            const RequestId id = queue.front().id;
            queue.pop_front();
            return id;
        }
    }
    return std::nullopt;
}

std::vector<RequestId> AdmissionQueue::takeExpired(TimePoint now)
{
    std::vector<RequestId> expired;
    for (auto &queue : this->queues) {
        std::erase_if(queue, [&](const Entry &entry) {
            const bool late = now - entry.since >= this->maxWait || entry.deadline.hasPassed(now);
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
    for (auto &queue : this->queues) {
        std::erase_if(queue, [&](const Entry &entry) { return entry.id == id; });
    }
}

void AdmissionQueue::setLimits(std::uint32_t newMaxLength, Milliseconds newMaxWait)
{
    this->maxLength = newMaxLength;
    this->maxWait = newMaxWait;
}

} // namespace cassiaroad
