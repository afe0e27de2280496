#pragma once

#include "process/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace cassiaroad {

class PipeAppender;

/** Value of a field of an event. */
using EventValue = std::variant<std::string, std::int64_t, double, bool>;

/** One decision or change, with the values that it is based on. */
struct Event
{
    // How many events of one kind are written when many occur at once.
    enum class Weight {
        Sampled, // usual outcomes: a sample of them
        Important, // failures and refusals: as many as a higher rate limit allows
        Always, // rare changes of the state of the process: all of them
    };

    std::string name; // see docs/OPERATIONS.md
    Weight weight = Weight::Important;
    std::vector<std::pair<std::string_view, EventValue>> fields;
};

/**
 * Structured log on standard output: one JSON object per line. The rate of each kind of event is
 * limited; suppressed lines are counted and reported with the next line of their kind. Writing
 * never waits for the reader. Loop thread only.
 */
class EventLog
{
public:
    /** Each line contains @p host to identify the process. */
    explicit EventLog(std::string host);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /** Writes one line, unless the rate limit of the event suppresses it. */
    void write(const Event &event);

    /**
     * Whether an event of this name and weight would be written now; if not, it counts as
     * suppressed. Call it before write() to avoid building an event in vain.
     */
    bool shouldWrite(std::string_view name, Event::Weight weight);

    /** Lines that the rate limits have suppressed so far. */
    std::uint64_t suppressedCount() const { return this->suppressed; }
    /** Lines that were dropped so far because the reader had stopped reading. */
    std::uint64_t droppedCount() const;

private:
    /** Rate limit of one kind of event. */
    struct TokenBucket
    {
        TimePoint refilledAt;
        double tokens = 0.0; // lines that may be written now
        std::uint64_t suppressedLines = 0; // since the last line of this kind
    };

    TokenBucket &refill(std::string_view name, Event::Weight weight);

    std::string host;
    std::map<std::string, TokenBucket, std::less<>> buckets; // by name of the event
    std::shared_ptr<PipeAppender> appender;
    std::uint64_t suppressed = 0;
};

} // namespace cassiaroad
