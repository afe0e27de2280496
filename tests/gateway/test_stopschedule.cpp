#include "gateway/stopschedule.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

// Guards against a gateway that answers its last requests so late that the responses are not
// written out before it is killed, over a link that is full for some tenths of a second.
RC_GTEST_PROP(StopSchedule, leavesTimeForResponsesBeforeTheEnd, ())
{
    const Milliseconds grace { *rc::gen::inRange(4000, 60000) };
    const StopSchedule schedule = stopScheduleFor(grace);
    RC_ASSERT(schedule.closeListener > Milliseconds {});
    RC_ASSERT(schedule.refuseNew < schedule.refuseWaiting);
    RC_ASSERT(schedule.refuseWaiting < schedule.respond);
    RC_ASSERT(schedule.exit - schedule.respond >= Milliseconds { 150 });
    RC_ASSERT(schedule.exit < grace);
}

// Guards against responses of the gateway to requests that their upstreams would have answered in
// time: a planned stop breaks off nothing before the last sixth of the grace period.
RC_GTEST_PROP(StopSchedule, waitsForUpstreamsUntilTheLastSixthOfTheGracePeriod, ())
{
    const Milliseconds grace { *rc::gen::inRange(4000, 60000) };
    RC_ASSERT(stopScheduleFor(grace).respond > grace * 5 / 6);
}

// Guards against requests that a stopping gateway still takes late in a long grace period and has
// to break off at its end, while their upstreams are at work on them.
RC_GTEST_PROP(StopSchedule, takesNoRequestsLateInTheGracePeriod, ())
{
    const Milliseconds grace { *rc::gen::inRange(4000, 60000) };
    const StopSchedule schedule = stopScheduleFor(grace);
    RC_ASSERT(schedule.refuseNew < Milliseconds { 3000 });
    RC_ASSERT(schedule.refuseNew <= grace / 2);
}
