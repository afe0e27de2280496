#include "gateway/stopschedule.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// The balancer checks the readiness of a gateway every second and stops sending it connections
// after two refusals.
constexpr Milliseconds balancerDelay { 2300 };
// Until then requests on open connections are taken. Clients have other gateways by that time, and
// all the rest of a long grace period is left for the responses.
constexpr Milliseconds maxTakingPeriod { 2800 };
// Time for upstreams to answer the requests that they have, after the waiting ones were refused.
constexpr Milliseconds lastAnswerDelay { 200 };
// The process ends this long before it would be killed.
constexpr Milliseconds killMargin { 300 };

} // namespace

StopSchedule stopScheduleFor(Milliseconds grace)
{
    StopSchedule schedule;
    schedule.closeListener = balancerDelay;
    schedule.refuseNew = std::min(grace / 2, maxTakingPeriod);
    schedule.refuseWaiting = grace * 5 / 6;
    schedule.respond = schedule.refuseWaiting + lastAnswerDelay;
    schedule.exit = grace - killMargin;
    return schedule;
}

} // namespace cassiaroad
