/**
 * Measures the processor time of log lines as a gateway writes them for a request: of a line that
 * is written and of one that is left out by the rate. Lines go to standard output, the result to
 * standard error. Usage: logcost >/dev/null
 */
#include "process/eventlog.h"

#include <cstdio>
#include <ctime>

using namespace cassiaroad;

namespace {

constexpr int lineCount = 200000;

double processorMicroseconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

Event requestEvent(const char *name, Event::Weight weight, int number)
{
    return { name,
             weight,
             { { "request", std::string("9c41d07be2a35f68") },
               { "outcome", std::string("upstream is busy") },
               { "status", std::int64_t(503) },
               { "ms", std::int64_t(number) },
               { "queued_ms", std::int64_t(0) },
               { "owner_wait_ms", std::int64_t(0) },
               { "left_ms", std::int64_t(1200) },
               { "service", std::string("orders") },
               { "key", std::int64_t(25773) },
               { "upstream", std::string("i-2cdc207f8b") },
               { "in_flight", std::int64_t(3) },
               { "sends", std::int64_t(1) },
               { "configuration", std::int64_t(81) },
               { "table", std::int64_t(50331685) },
               { "table_age_ms", std::int64_t(77) } } };
}

void measure(EventLog &log, const char *name, Event::Weight weight)
{
    const double start = processorMicroseconds();
    int written = 0;
    for (int i = 0; i < lineCount; ++i) {
        if (weight == Event::Weight::Always || log.shouldWrite(name, weight)) {
            log.write(requestEvent(name, weight, i));
            ++written;
        }
    }
    const double each = (processorMicroseconds() - start) / lineCount;
    std::fprintf(stderr, "%-16s %7d of %d lines written, %.2f us each\n", name, written, lineCount,
                 each);
}

} // namespace

int main()
{
    EventLog log("front-1");
    measure(log, "written", Event::Weight::Always);
    measure(log, "left_out", Event::Weight::Sampled);
    return 0;
}
