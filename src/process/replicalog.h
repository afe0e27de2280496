#pragma once

#include "process/logentry.h"

#include <deque>
#include <map>

namespace cassiaroad {

/** The replicated log in memory: the entries after a base index and their configurations. */
class ReplicaLog
{
public:
    /** Entries that contradict the snapshot or end before it are ignored. */
    ReplicaLog(const std::optional<Snapshot> &snapshot, std::vector<LogEntry> entries);

    /** Index of the last entry that is no longer stored; its term is still known. */
    LogIndex baseIndex() const { return this->base; }
    LogIndex lastIndex() const { return this->base + this->entries.size(); }
    Term lastTerm() const;
    /** Term of the entry at @p index; nothing if it was compacted or does not exist yet. */
    std::optional<Term> termAt(LogIndex index) const;
    /** Precondition: baseIndex() < index <= lastIndex(). */
    const LogEntry &at(LogIndex index) const;
    /** Entries from @p from on, up to @p maxBytes but at least one if there is any. */
    std::vector<LogEntry> slice(LogIndex from, std::size_t maxBytes) const;
    /** Entries in [from, to]. */
    std::vector<LogEntry> range(LogIndex from, LogIndex to) const;

    /** Precondition: entry.index == lastIndex() + 1. */
    void append(LogEntry entry);
    /** Drops the entries from @p index on. */
    void truncateFrom(LogIndex index);
    /** Drops the entries up to and including @p index. */
    void compactTo(LogIndex index);
    /** Drops all entries; the log continues after the snapshot with @p meta. */
    void resetTo(const SnapshotMeta &meta);

    /** Largest index up to @p index whose term is at most @p term; the base if there is none. */
    LogIndex lastIndexWithTermUpTo(LogIndex index, Term term) const;

    /** Latest configuration, committed or not. */
    const Configuration &configuration() const { return this->configurations.rbegin()->second; }
    LogIndex configurationIndex() const { return this->configurations.rbegin()->first; }
    /** The same, with its position, or the first one that is known if its entry was compacted. */
    SnapshotMeta latestConfiguration() const;
    /** Configuration in effect at @p index. */
    const Configuration &configurationAt(LogIndex index) const;

private:
    /** Collects the configurations of the snapshot and of the entries. */
    void readConfigurations(const std::optional<Snapshot> &snapshot);

    LogIndex base = 0;
    Term baseTerm = 0;
    std::deque<LogEntry> entries;
    std::map<LogIndex, Configuration> configurations; // by the index of their entry; never empty
};

} // namespace cassiaroad
