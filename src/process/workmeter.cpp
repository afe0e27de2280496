#include "process/workmeter.h"

#include <utility>

namespace cassiaroad {

namespace {

constexpr std::int64_t microsecondsPerMillisecond = 1000;

std::size_t indexOf(Work kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

const char *nameOf(Work kind)
{
    switch (kind) {
    case Work::Other:
        return "other";
    case Work::Heartbeats:
        return "heartbeats";
    case Work::OperatorCalls:
        return "operator_calls";
    case Work::WatchReports:
        return "watch_reports";
    case Work::WatchReplies:
        return "watch_replies";
    case Work::RoutingTable:
        return "routing_table";
    case Work::Decisions:
        return "decisions";
    case Work::LeaseCalls:
        return "lease_calls";
    case Work::Commands:
        return "commands";
    case Work::Replication:
        return "replication";
    case Work::Sync:
        return "sync";
    case Work::Snapshots:
        return "snapshots";
    case Work::Updates:
        return "updates";
    case Work::Requests:
        return "requests";
    }
    return "unknown";
}

WorkMeter::Scope::Scope(WorkMeter &meter, Work kind)
    : meter(meter)
    , outer(meter.current)
{
    meter.switchTo(kind);
    ++meter.iteration.calls[indexOf(kind)];
}

WorkMeter::Scope::~Scope()
{
    this->meter.switchTo(this->outer);
}

void WorkMeter::onSlowIteration(Milliseconds minDuration,
                                std::function<void(const IterationReport &)> slowHandler)
{
    this->threshold = minDuration;
    this->handler = std::move(slowHandler);
}

// Adds the time since the previous switch to the kind of work that ends now.
void WorkMeter::switchTo(Work kind)
{
    const std::int64_t now = Clock::microseconds();
    this->iteration.microseconds[indexOf(this->current)] += now - this->switchedAt;
    this->switchedAt = now;
    this->current = kind;
}

void WorkMeter::beginIteration()
{
    this->switchTo(this->current);
    const std::int64_t now = this->switchedAt;
    IterationReport ended = std::exchange(this->iteration, {});
    ended.duration = { (now - this->startedAt) / microsecondsPerMillisecond };
    const bool isFirst = std::exchange(this->startedAt, now) == 0;
    if (isFirst) {
        return;
    }
    for (std::size_t i = 0; i < workKinds; ++i) {
        this->totals[i] += ended.microseconds[i];
    }
    if (this->handler && ended.duration >= this->threshold) {
        this->handler(ended);
    }
}

void WorkMeter::recordWait(Milliseconds duration)
{
    const std::int64_t microseconds = duration.count * microsecondsPerMillisecond;
    this->startedAt += microseconds;
    this->iteration.microseconds[indexOf(Work::Other)] -= microseconds;
}

std::int64_t WorkMeter::totalMicroseconds(Work kind) const
{
    return this->totals[indexOf(kind)];
}

} // namespace cassiaroad
