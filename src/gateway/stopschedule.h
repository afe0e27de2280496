#pragma once

#include "process/clock.h"

namespace cassiaroad {

/** When a stopping gateway takes its steps, counted from the signal to stop. */
struct StopSchedule
{
    Milliseconds closeListener; // no more connections of clients are accepted
    Milliseconds refuseNew; // requests that arrive from now on are refused
    Milliseconds refuseWaiting; // requests that no upstream has received are refused
    Milliseconds respond; // all other requests get a response, whatever their upstreams do
    Milliseconds exit; // the process ends

    bool operator==(const StopSchedule &) const = default;
};

/**
 * Returns the schedule of a gateway that is killed @p grace after the signal to stop. @p grace is
 * at least 4 s: shorter periods leave no time between the steps. Thread-safe.
 */
StopSchedule stopScheduleFor(Milliseconds grace);

} // namespace cassiaroad
