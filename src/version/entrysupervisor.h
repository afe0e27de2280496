#pragma once

#include "version/leadercontext.h"

#include <map>
#include <vector>

namespace cassiaroad {

/** Answers watch calls of entry hosts with leases and route changes. Not thread-safe. */
class EntrySupervisor
{
public:
    /** @p context must outlive the supervisor. */
    explicit EntrySupervisor(LeaderContext &context);

    void reset() { this->held.clear(); }

    /** Takes a watch call; answers it at once if there is something new. */
    void watched(const WatchRequested &event);

    /** Answers held calls that are due, and resolves requests of lost entry hosts. */
    void step();

    std::vector<CallId> waitingCalls() const;

private:
    struct Held
    {
        CallId call = 0;
        Revision seenRevision = 0;
        TimePoint since;
    };

    bool due(const EntryHostId &host, const Held &watch) const;
    void answer(const EntryHostId &host, const Held &watch);
    void noteReports(const WatchRequested &event);
    void abandonLost();

    LeaderContext &context;
    std::map<EntryHostId, Held> held;
};

} // namespace cassiaroad
