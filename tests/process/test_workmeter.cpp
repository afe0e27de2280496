#include "process/workmeter.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <thread>

using namespace cassiaroad;

namespace {

constexpr Milliseconds threshold { 20 };

void workFor(Milliseconds duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration.count));
}

std::int64_t millisecondsOf(const IterationReport &report, Work kind)
{
    return report.microseconds[static_cast<std::size_t>(kind)] / 1000;
}

} // namespace

// Guards against a leader that is busy without a trace of what it did: the log tells which work a
// slow iteration was spent on, and nested work counts only once.
TEST(WorkMeter, reportsWhatASlowIterationWasSpentOn)
{
    WorkMeter meter;
    std::optional<IterationReport> report;
    meter.onSlowIteration(threshold, [&](const IterationReport &slow) { report = slow; });
    meter.beginIteration();
    {
        const WorkMeter::Scope heartbeats(meter, Work::Heartbeats);
        workFor({ 10 });
        const WorkMeter::Scope table(meter, Work::RoutingTable);
        workFor({ 20 });
    }
    meter.beginIteration();
    ASSERT_TRUE(report);
    EXPECT_GE(report->duration, Milliseconds { 30 });
    EXPECT_GE(millisecondsOf(*report, Work::Heartbeats), 10);
    EXPECT_GE(millisecondsOf(*report, Work::RoutingTable), 20);
    const std::int64_t both = millisecondsOf(*report, Work::Heartbeats)
                              + millisecondsOf(*report, Work::RoutingTable);
    EXPECT_LE(both, report->duration.count);
    EXPECT_EQ(report->calls[static_cast<std::size_t>(Work::RoutingTable)], 1U);
    EXPECT_GE(meter.totalMicroseconds(Work::RoutingTable), 20000);
}

// Guards against an idle loop that counts as busy because it waited for events.
TEST(WorkMeter, doesNotCountTheWaitOfAnIteration)
{
    WorkMeter meter;
    bool isSlow = false;
    meter.onSlowIteration(threshold, [&](const IterationReport &) { isSlow = true; });
    meter.beginIteration();
    const std::int64_t start = Clock::microseconds();
    workFor({ 40 });
    meter.recordWait({ (Clock::microseconds() - start) / 1000 });
    meter.beginIteration();
    EXPECT_FALSE(isSlow);
}
