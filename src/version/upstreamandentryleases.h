#pragma once

#include "process/clock.h"
#include "version/ownershipevent.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cassiaroad {

/** Lease of one entry host, which starts when the leader responds, and its last report. */
struct EntryLease
{
    std::string zone;
    Revision seenRevision = 0;
    Revision drainedRevision = 0;
    TimePoint until;
};

/**
 * Leases that this leader has issued to upstreams and entry hosts; they are only in its memory. A
 * lease of an earlier leader ends at most one lease duration after the election of this leader. Not
 * thread-safe.
 */
class UpstreamAndEntryLeases
{
public:
    UpstreamAndEntryLeases(Milliseconds upstreamLease, Milliseconds entryLease);

    /** Clears the table at the election of this leader; the takeover delay starts at @p now. */
    void reset(TimePoint now);

    /**
     * Whether every lease of earlier leaders has ended: the longer lease duration plus 10% has
     * passed since the election.
     */
    bool hasTakeoverDelayPassed(TimePoint now) const;

    /** Issues a lease to an upstream. */
    void renewUpstream(const UpstreamId &id, TimePoint now);

    /** Time from which no lease issued so far to any instance of the upstream is valid. */
    TimePoint upstreamLeaseEnd(const UpstreamId &id) const;

    /** Removes an upstream that is no longer in the state. */
    void forgetUpstream(const UpstreamId &id) { this->upstreamIssued.erase(id); }

    /** Records the report of an entry host. */
    void recordEntryReport(const WatchRequested &watch, TimePoint now);

    /** Issues a lease to an entry host. */
    void renewEntry(const EntryHostId &host, TimePoint now);

    /** Removes an entry host, which thereby has no lease any more. */
    void removeEntry(const EntryHostId &host) { this->entries.erase(host); }

    /** Whether the lease of an entry host is valid at @p now. */
    bool isEntryLive(const EntryHostId &host, TimePoint now) const;

    /** Entry hosts whose lease is valid at @p now, in order. */
    std::vector<EntryHostId> liveEntries(TimePoint now) const;

    /** Whether every entry host with a valid lease has drained @p revision. */
    bool haveAllDrained(Revision revision, TimePoint now) const;

    /** Whether every entry host with a valid lease has seen @p revision. */
    bool haveAllSeen(Revision revision, TimePoint now) const;

    const std::map<EntryHostId, EntryLease> &all() const { return this->entries; }

    /** Removes entry hosts whose lease ended at least one lease duration ago. */
    void prune(TimePoint now);

private:
    Milliseconds upstreamLease;
    Milliseconds entryLease;
    TimePoint electedAt;
    std::map<UpstreamId, TimePoint> upstreamIssued; // time of the last response with a lease
    std::map<EntryHostId, EntryLease> entries;
};

} // namespace cassiaroad
