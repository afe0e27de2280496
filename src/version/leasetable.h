#pragma once

#include "process/clock.h"
#include "version/ownershipevent.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cassiaroad {

/** Lease of one entry host, counted by the leader from its answer. */
struct EntryLease
{
    std::string zone;
    Revision seenRevision = 0;
    Revision drainedRevision = 0;
    TimePoint until;
};

/**
 * Leases that this leader has issued, in its memory only. A lease of an earlier leader ends at
 * most one lease after this leader's election. Not thread-safe.
 */
class LeaseTable
{
public:
    LeaseTable(Milliseconds upstreamLease, Milliseconds entryLease);

    /** Forgets everything and starts the takeover wait at @p now. */
    void reset(TimePoint now);

    /** Whether every lease of earlier leaders has ended: one lease plus 10% after the election. */
    bool takeoverPassed(TimePoint now) const;

    void renewUpstream(const UpstreamId &id, TimePoint now);

    /** Moment from which no lease issued so far to any instance of the upstream is valid. */
    TimePoint upstreamLapse(const UpstreamId &id) const;

    /** Forgets an upstream that was removed from the state. */
    void forgetUpstream(const UpstreamId &id) { this->upstreamIssued.erase(id); }

    /** Records what an entry host reported. */
    void reportEntry(const WatchRequested &watch, TimePoint now);

    /** Issues a lease to an entry host. */
    void renewEntry(const EntryHostId &host, TimePoint now);

    void endEntry(const EntryHostId &host) { this->entries.erase(host); }

    bool entryLive(const EntryHostId &host, TimePoint now) const;

    /** Entry hosts whose lease is live at @p now, in order. */
    std::vector<EntryHostId> liveEntries(TimePoint now) const;

    /** Whether every entry host with a live lease has drained @p revision. */
    bool allDrained(Revision revision, TimePoint now) const;

    /** Whether every entry host with a live lease has seen @p revision. */
    bool allSeen(Revision revision, TimePoint now) const;

    const std::map<EntryHostId, EntryLease> &all() const { return this->entries; }

    /** Drops entry hosts whose lease ended long ago. */
    void prune(TimePoint now);

private:
    Milliseconds upstreamLease;
    Milliseconds entryLease;
    TimePoint electedAt;
    std::map<UpstreamId, TimePoint> upstreamIssued; // last answer that carried a lease
    std::map<EntryHostId, EntryLease> entries;
};

} // namespace cassiaroad
