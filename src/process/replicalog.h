#pragma once

#include "process/logentry.h"

#include <deque>
#include <map>

namespace cassiaroad {

/** The log in memory: entries behind a base position, and the configurations they contain. */
class ReplicaLog
{
public:
    /** Entries that contradict the snapshot or end before it are ignored. */
    ReplicaLog(const std::optional<Snapshot> &snapshot, std::vector<LogEntry> entries);

    /** Last index that is not kept as an entry; its term is known. */
    LogIndex baseIndex() const { return this->base; }
    LogIndex lastIndex() const { return this->base + this->entries.size(); }
    Term lastTerm() const;
    /** Term at @p index, or nothing if it is compacted or not there yet. */
    std::optional<Term> termAt(LogIndex index) const;
    /** Precondition: baseIndex() < index <= lastIndex(). */
    const LogEntry &at(LogIndex index) const;
    /** Entries from @p from on, up to @p maxBytes but at least one if there is any. */
    std::vector<LogEntry> slice(LogIndex from, std::size_t maxBytes) const;
    /** Entries in [from, to]. */
    std::vector<LogEntry> range(LogIndex from, LogIndex to) const;

    /** Precondition: entry.index == lastIndex() + 1. */
    void append(LogEntry entry);
    void truncateFrom(LogIndex index);
    /** Drops entries up to @p index. */
    void compactTo(LogIndex index);
    /** Drops everything; the log continues behind @p meta. */
    void resetTo(const SnapshotMeta &meta);

    /** Largest index up to @p index whose term is at most @p term; the base if there is none. */
    LogIndex lastIndexWithTermUpTo(LogIndex index, Term term) const;

    /** Latest configuration, committed or not. */
    const Configuration &configuration() const { return this->configurations.rbegin()->second; }
    LogIndex configurationIndex() const { return this->configurations.rbegin()->first; }
    const Configuration &configurationAt(LogIndex index) const;

private:
    void readConfigurations(const std::optional<Snapshot> &snapshot);

    LogIndex base = 0;
    Term baseTerm = 0;
    std::deque<LogEntry> entries;
    std::map<LogIndex, Configuration> configurations; // never empty
};

} // namespace cassiaroad
