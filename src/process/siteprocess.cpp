#include "process/siteprocess.h"

namespace cassiaroad {

void updateLogGauges(Metrics &metrics, const EventLog &log)
{
    metrics.gauge("cassiaroad_log_lines_suppressed", "Log lines left out to bound the volume.")
            .Set(static_cast<double>(log.suppressedCount()));
    metrics.gauge("cassiaroad_log_lines_dropped", "Log lines that the reader did not take.")
            .Set(static_cast<double>(log.droppedCount()));
}

} // namespace cassiaroad
