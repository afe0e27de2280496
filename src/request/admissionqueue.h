#pragma once

#include "process/settings.h"
#include "request/deadline.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cassiaroad {

using RequestId = std::uint64_t;

/** The request waits. */
struct Waiting
{
    bool operator==(const Waiting &) const = default;
};

/** The request waits in place of `request`, a less important one, which is refused. */
struct Displaced
{
    RequestId request = 0;

    bool operator==(const Displaced &) const = default;
};

/** The request is refused at once. */
struct Refused
{
    std::string reason;

    bool operator==(const Refused &) const = default;
};

using Admission = std::variant<Waiting, Displaced, Refused>;

/**
 * Requests that wait for one upstream: more important ones first, and first come, first served
 * within a priority. Bounded in length and time. Not thread-safe.
 */
class AdmissionQueue
{
public:
    /** At most @p maxLength requests wait, each for at most @p maxWait. */
    AdmissionQueue(std::uint32_t maxLength, Milliseconds maxWait);

    /**
     * Adds a request. @p startInterval is the expected time between two starts, @p duration the
     * expected duration of the request itself. A request that would miss its deadline is refused.
     */
    Admission add(RequestId id, Priority priority, const Deadline &deadline,
                  Milliseconds startInterval, Milliseconds duration, TimePoint now);

    /** Removes and returns the request to start next. */
    std::optional<RequestId> takeNext();

    /** Removes and returns the requests that have waited too long or whose deadline has passed. */
    std::vector<RequestId> takeExpired(TimePoint now);

    /** Removes a request; does nothing if it is not in the queue. */
    void remove(RequestId id);

    std::size_t size() const;
    void setLimits(std::uint32_t newMaxLength, Milliseconds newMaxWait);

private:
    struct Entry
    {
        RequestId id;
        Deadline deadline;
        TimePoint since;
    };

    std::size_t countAhead(Priority priority) const;
    std::optional<RequestId> takeLessImportant(Priority priority);

    std::uint32_t maxLength;
    Milliseconds maxWait;
    std::array<std::deque<Entry>, 3> queues; // by priority
};

} // namespace cassiaroad
