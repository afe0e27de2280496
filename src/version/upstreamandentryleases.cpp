#include "version/upstreamandentryleases.h"

#include <algorithm>

namespace cassiaroad {

UpstreamAndEntryLeases::UpstreamAndEntryLeases(Milliseconds upstreamLease, Milliseconds entryLease)
    : upstreamLease(upstreamLease)
    , entryLease(entryLease)
{ }

void UpstreamAndEntryLeases::reset(TimePoint now)
{
    this->electedAt = now;
    this->upstreamIssued.clear();
    this->entries.clear();
}

bool UpstreamAndEntryLeases::hasTakeoverDelayPassed(TimePoint now) const
{
    const Milliseconds longerLease = std::max(this->upstreamLease, this->entryLease);
    return now >= this->electedAt + longerLease + longerLease / 10;
}

void UpstreamAndEntryLeases::renewUpstream(const UpstreamId &id, TimePoint now)
{
    this->upstreamIssued[id] = now;
}

TimePoint UpstreamAndEntryLeases::upstreamLeaseEnd(const UpstreamId &id) const
{
    const auto found = this->upstreamIssued.find(id);
    const TimePoint issued = found == this->upstreamIssued.end() ? this->electedAt : found->second;
    return issued + this->upstreamLease;
}

void UpstreamAndEntryLeases::recordEntryReport(const WatchRequested &watch, TimePoint now)
{
    EntryLease &entry = this->entries[watch.host];
    // This is not a lease, but it keeps prune() from removing the report before the reply issues
    // one.
    entry.until = std::max(entry.until, now);
    entry.zone = watch.zone;
    // Calls may be handled out of order; what an entry host has seen and drained only grows.
    entry.seenRevision = std::max(entry.seenRevision, watch.seenRevision);
    entry.drainedRevision = std::max(entry.drainedRevision, watch.drainedRevision);
}

void UpstreamAndEntryLeases::renewEntry(const EntryHostId &host, TimePoint now)
{
    this->entries[host].until = now + this->entryLease;
}

bool UpstreamAndEntryLeases::isEntryLive(const EntryHostId &host, TimePoint now) const
{
    const auto found = this->entries.find(host);
    return found != this->entries.end() && now < found->second.until;
}

std::vector<EntryHostId> UpstreamAndEntryLeases::liveEntries(TimePoint now) const
{
    std::vector<EntryHostId> live;
    for (const auto &[host, entry] : this->entries) {
        if (now < entry.until) {
            live.push_back(host);
        }
    }
    return live;
}

bool UpstreamAndEntryLeases::haveAllDrained(Revision revision, TimePoint now) const
{
    return std::all_of(this->entries.begin(), this->entries.end(), [&](const auto &item) {
        return now >= item.second.until || item.second.drainedRevision >= revision;
    });
}

bool UpstreamAndEntryLeases::haveAllSeen(Revision revision, TimePoint now) const
{
    return std::all_of(this->entries.begin(), this->entries.end(), [&](const auto &item) {
        return now >= item.second.until || item.second.seenRevision >= revision;
    });
}

void UpstreamAndEntryLeases::prune(TimePoint now)
{
    std::erase_if(this->entries, [now, this](const auto &item) {
        return now >= item.second.until + this->entryLease;
    });
}

} // namespace cassiaroad
