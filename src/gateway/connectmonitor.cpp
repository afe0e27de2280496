#include "gateway/connectmonitor.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds minConnectTimeout { 400 };
// A connection that takes longer would leave too little time for the request.
constexpr Milliseconds maxConnectTimeout { 1600 };

} // namespace

ConnectMonitor::ConnectMonitor()
    : estimate(minConnectTimeout, maxConnectTimeout)
{ }

void ConnectMonitor::recordOpened(TimePoint startedAt, TimePoint now)
{
    this->estimate.recordReply(now - startedAt);
    this->lastOpenedStart = std::max(this->lastOpenedStart, startedAt);
}

bool ConnectMonitor::recordTimeout(TimePoint startedAt, TimePoint now)
{
    if (this->lastOpenedStart > startedAt) {
        return true;
    }
    this->estimate.recordFailure(now - startedAt);
    return false;
}

} // namespace cassiaroad
