#pragma once

#include "process/clock.h"
#include "version/ownershipevent.h"

#include <cstdint>
#include <map>

namespace cassiaroad {

/** Health of upstreams as the entry hosts report it. Not thread-safe. */
class HealthTable
{
public:
    void reset() { this->observations.clear(); }

    /** Records a report of one entry host. A report without requests is ignored. */
    void report(const EntryHostId &host, const UpstreamHealth &health, TimePoint now);

    /**
     * Whether the upstream is failing: at least two entry hosts report it as failing, or more than
     * half of those that reported in the last 3 s.
     */
    bool isFailing(const UpstreamId &upstream, TimePoint now) const;

    /**
     * Whether a suspected upstream can return: it has been suspected for 5 s, no entry host has
     * reported it as failing in the last 30 s, and one has reported three consecutive successes or
     * none has tried the upstream for 30 s. Also true if this leader has no report about it.
     */
    bool hasRecovered(const UpstreamId &upstream, TimePoint now) const;

    /** Forgets the reports about an upstream, after a change of its state. */
    void clear(const UpstreamId &upstream, TimePoint now);

private:
    /** Last report of one entry host. */
    struct Observation
    {
        TimePoint at;
        bool isFailing = false;
        std::uint32_t successes = 0; // consecutive requests without a failure
    };
    struct Entry
    {
        std::map<EntryHostId, Observation> hosts;
        TimePoint clearedAt;
    };
    std::map<UpstreamId, Entry> observations;
};

} // namespace cassiaroad
