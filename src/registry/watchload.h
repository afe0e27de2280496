#pragma once

#include "process/eventlog.h"
#include "process/workmeter.h"
#include "version/sitewatch.h"

#include <array>

namespace cassiaroad {

/**
 * What the gateways' watch calls cause at the leader, and what its loop spends its time on, for a
 * log line of each. Not thread-safe.
 */
class WatchLoad
{
public:
    void countCall() { ++this->counts.calls; }
    void countReply(const GatewayUpdate &update);
    void countHeartbeat() { ++this->counts.heartbeats; }
    void countTable() { ++this->counts.tables; }

    /** What waits at the leader when a line is written. */
    struct Waiting
    {
        std::size_t calls = 0; // watch calls that wait for a change
        std::size_t proposals = 0; // commands that are proposed and not committed
        Milliseconds oldestProposal; // how long the oldest of them has waited
    };

    /**
     * Writes what was counted since the previous call, the work of @p meter in that time, and what
     * waits now.
     */
    void write(EventLog &log, const WorkMeter &meter, const Waiting &waiting);
    /** Drops what was counted, while this host does not lead. */
    void clear(const WorkMeter &meter);

private:
    struct Counts
    {
        std::int64_t calls = 0;
        std::int64_t replies = 0;
        std::int64_t changes = 0; // changes of the routing table, in replies
        std::int64_t fullTables = 0;
        std::int64_t changeBytes = 0;
        std::int64_t deltas = 0; // of the configuration, in replies
        std::int64_t fullDocuments = 0;
        std::int64_t documentBytes = 0;
        std::int64_t heartbeats = 0;
        std::int64_t tables = 0; // built
    };

    std::array<std::int64_t, workKinds> takeWork(const WorkMeter &meter);

    Counts counts;
    std::array<std::int64_t, workKinds> workBefore {}; // microseconds at the previous call
};

} // namespace cassiaroad
