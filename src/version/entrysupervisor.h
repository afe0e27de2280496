#pragma once

#include "version/leadercontext.h"

#include <map>
#include <vector>

namespace cassiaroad {

/**
 * Replies to the watch calls of entry hosts with leases and route changes, and records what they
 * report about upstreams and load. Not thread-safe.
 */
class EntrySupervisor
{
public:
    /** @p context must outlive the supervisor. */
    explicit EntrySupervisor(LeaderContext &context);

    /** Forgets the waiting calls, for a new term of leadership. */
    void reset() { this->waitingWatches.clear(); }

    /** Handles a watch call: replies at once if there is a change, otherwise the call waits. */
    void onWatchRequested(const WatchRequested &event);

    /**
     * Replies to waiting calls that are due, and proposes to set the outcome of requests in flight
     * of entry hosts without a lease to unknown.
     */
    void step();

    /** Returns the watch calls that wait for a change. */
    std::vector<CallId> waitingCalls() const;

private:
    /** A watch call that waits for a change or for its timeout. */
    struct WaitingWatch
    {
        CallId call = 0;
        Revision seenRevision = 0;
        TimePoint since;
    };

    /** Whether there is a change for the entry host or the call has waited long enough. */
    bool isDue(const EntryHostId &host, const WaitingWatch &watch) const;
    void reply(const EntryHostId &host, const WaitingWatch &watch);
    void recordReports(const WatchRequested &event);
    void abandonLostRequests();

    LeaderContext &context;
    std::map<EntryHostId, WaitingWatch> waitingWatches;
};

} // namespace cassiaroad
