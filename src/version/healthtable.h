#pragma once

#include "process/clock.h"
#include "version/ownershipevent.h"

#include <cstdint>
#include <map>

namespace cassiaroad {

/** What entry hosts report about the health of upstreams. Not thread-safe. */
class HealthTable
{
public:
    void reset() { this->observations.clear(); }

    /** Adds a report of one entry host. Reports without requests say nothing. */
    void report(const EntryHostId &host, const UpstreamHealth &health, TimePoint now);

    /**
     * Whether the upstream is failing: at least two entry hosts see failures, or a majority of
     * those that reported lately.
     */
    bool failing(const UpstreamId &upstream, TimePoint now) const;

    /**
     * Whether a suspected upstream may return: no entry host sees failures, and one saw three
     * consecutive successes, or nobody has tried the upstream for 30 s.
     */
    bool recovered(const UpstreamId &upstream, TimePoint now) const;

    /** Forgets earlier reports about an upstream, after its state changed. */
    void clear(const UpstreamId &upstream, TimePoint now);

private:
    struct Observation
    {
        TimePoint at;
        bool failing = false;
        std::uint32_t successes = 0; // consecutive requests without failure
    };
    struct Entry
    {
        std::map<EntryHostId, Observation> hosts;
        TimePoint clearedAt;
    };
    std::map<UpstreamId, Entry> observations;
};

} // namespace cassiaroad
