#pragma once

#include "process/eventlog.h"
#include "version/leasecalls.h"

namespace cassiaroad {

/** Writes the event of a call that ended at @p now with @p result. Loop thread only. */
void logLeaseCall(EventLog &log, const EndedLeaseCall &ended, const LeaseCallResult &result,
                  TimePoint now);

} // namespace cassiaroad
