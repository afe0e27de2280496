#include "process/siteprocess.h"

namespace cassiaroad {

namespace {

constexpr Milliseconds slowIteration { 100 };
constexpr std::int64_t microsecondsPerMillisecond = 1000;
constexpr double microsecondsPerSecond = 1e6;

} // namespace

void logSlowIterations(EventLoop &loop, EventLog &log)
{
    loop.workMeter().onSlowIteration(slowIteration, [&log](const IterationReport &iteration) {
        Event event { "loop_busy",
                      Event::Weight::Important,
                      { { "ms", iteration.duration.count } } };
        for (std::size_t i = 0; i < workKinds; ++i) {
            const std::int64_t milliseconds
                    = iteration.microseconds[i] / microsecondsPerMillisecond;
            if (milliseconds > 0) {
                event.fields.emplace_back(nameOf(static_cast<Work>(i)), milliseconds);
            }
        }
        log.write(event);
    });
}

void updateWorkGauges(Metrics &metrics, const WorkMeter &meter)
{
    // The time of Work::Other includes waits shorter than a millisecond.
    for (std::size_t i = 1; i < workKinds; ++i) {
        const auto kind = static_cast<Work>(i);
        metrics.gauge("cassiaroad_loop_work_seconds",
                      "Time that the loop has spent on a kind of work.",
                      { { "work", nameOf(kind) } })
                .Set(static_cast<double>(meter.totalMicroseconds(kind)) / microsecondsPerSecond);
    }
}

void updateLogGauges(Metrics &metrics, const EventLog &log)
{
    metrics.gauge("cassiaroad_log_lines_suppressed", "Log lines left out to bound the volume.")
            .Set(static_cast<double>(log.suppressedCount()));
    metrics.gauge("cassiaroad_log_lines_dropped", "Log lines that the reader did not take.")
            .Set(static_cast<double>(log.droppedCount()));
}

} // namespace cassiaroad
