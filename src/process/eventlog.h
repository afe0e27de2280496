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

/** One decision or change, with what decided it. */
struct Event
{
    // How much of an event is written when many come at once.
    enum class Weight {
        Sampled, // usual outcomes: some of them
        Important, // failures and refusals: as many as the volume allows
        Always, // rare changes of what the process believes
    };

    std::string name; // see docs/OPERATIONS.md
    Weight weight = Weight::Important;
    std::vector<std::pair<std::string_view, EventValue>> fields;
};

/**
 * Structured log on standard output: one JSON object a line. Each kind of event has a bounded rate;
 * what is left out is counted and reported with the next line of its kind. Writing never waits for
 * the reader. Loop thread only.
 */
class EventLog
{
public:
    /** @p host names the process in each line. */
    explicit EventLog(std::string host);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void write(const Event &event);

    /** Whether a Sampled or Important event of this name would be written now; saves making it. */
    bool hasRoom(std::string_view name, Event::Weight weight);

    /** Lines left out by the rate so far. */
    std::uint64_t suppressedCount() const { return this->suppressed; }
    /** Lines that the reader did not take. */
    std::uint64_t droppedCount() const;

private:
    struct Allowance
    {
        TimePoint refilled;
        double lines = 0.0;
        std::uint64_t leftOut = 0;
    };

    Allowance &refill(std::string_view name, Event::Weight weight);

    std::string host;
    std::map<std::string, Allowance, std::less<>> allowances;
    std::shared_ptr<PipeAppender> appender;
    std::uint64_t suppressed = 0;
};

} // namespace cassiaroad
