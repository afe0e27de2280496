#pragma once

#include "process/clock.h"

#include <array>
#include <cstdint>
#include <functional>

namespace cassiaroad {

/** Kinds of work that the loop of a process does. */
enum class Work {
    Other, // whatever no scope covers: the loop itself, reading and writing of sockets
    Heartbeats, // of upstreams, with the decisions that they cause
    OperatorCalls,
    WatchReports, // taking the reports of gateways
    WatchReplies, // building and encoding the replies to gateways
    RoutingTable, // building the routing table
    Decisions, // search for commands that are due
    LeaseCalls, // calls that deliver leases to upstreams
    Commands, // applying committed commands
    Replication, // messages of the control group
    Sync, // writing and syncing the log
    Snapshots, // encoding and saving snapshots
    Updates, // applying the updates of the leader, at a gateway
    Requests, // of clients, at a gateway
};

constexpr std::size_t workKinds = static_cast<std::size_t>(Work::Requests) + 1;

/** Returns the name of a kind of work in log lines and metrics. */
const char *nameOf(Work kind);

/** How long one iteration of a loop took, and what it did in that time. */
struct IterationReport
{
    Milliseconds duration;
    std::array<std::int64_t, workKinds> microseconds {}; // by kind of work
    std::array<std::uint32_t, workKinds> calls {}; // scopes by kind of work
};

/**
 * Measures how the loop of a process spends its time. Time is measured on the monotonic clock, so
 * it includes the time during which the process had no processor. Loop thread only.
 */
class WorkMeter
{
public:
    /**
     * Counts the time from its creation to its destruction as work of one kind, except the time of
     * scopes within it.
     */
    class Scope
    {
    public:
        Scope(WorkMeter &meter, Work kind);
        ~Scope();
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;

    private:
        WorkMeter &meter;
        Work outer;
    };

    /** Calls @p handler after each iteration that took at least @p threshold. */
    void onSlowIteration(Milliseconds threshold,
                         std::function<void(const IterationReport &)> handler);

    /** Ends the present iteration and begins the next one. */
    void beginIteration();
    /** Records that the present iteration began with a wait of @p duration, which was no work. */
    void recordWait(Milliseconds duration);

    /** Time spent on @p kind in all ended iterations, in microseconds. */
    std::int64_t totalMicroseconds(Work kind) const;

private:
    void switchTo(Work kind);

    IterationReport iteration;
    std::array<std::int64_t, workKinds> totals {}; // microseconds, of ended iterations
    Work current = Work::Other;
    std::int64_t switchedAt = 0; // microseconds on the monotonic clock
    std::int64_t startedAt = 0; // of the iteration, without its wait
    Milliseconds threshold;
    std::function<void(const IterationReport &)> handler;
};

} // namespace cassiaroad
