#pragma once

#include "process/eventlog.h"
#include "process/eventloop.h"
#include "process/metrics.h"

#include <csignal>

namespace cassiaroad {

/** Sets the gauges for suppressed and dropped log lines. Loop thread only. */
void updateLogGauges(Metrics &metrics, const EventLog &log);

/**
 * Writes an event for each iteration of @p loop that took so long that callers notice it. @p log
 * must outlive the loop's last iteration. Loop thread only.
 */
void logSlowIterations(EventLoop &loop, EventLog &log);

/** Sets the gauges for the time that the loop has spent on each kind of work. Loop thread only. */
void updateWorkGauges(Metrics &metrics, const WorkMeter &meter);

/**
 * Starts @p process and runs @p loop until it is stopped; SIGTERM and SIGINT call
 * @p process.stop(). Returns whether the process could be started; if not, the reason is logged for
 * @p host.
 */
template <typename Process>
bool runUntilStopped(EventLoop &loop, Process &process, const std::string &host)
{
    const std::string reason = process.start();
    if (!reason.empty()) {
        EventLog(host).write({ "failed", Event::Weight::Always, { { "reason", reason } } });
        return false;
    }
    for (const int signal : { SIGTERM, SIGINT }) {
        loop.onSignal(signal, [&process] { process.stop(); });
    }
    loop.run();
    return true;
}

} // namespace cassiaroad
