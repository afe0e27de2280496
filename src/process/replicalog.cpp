#include "process/replicalog.h"

#include <iterator>

namespace cassiaroad {

namespace {

// Estimated size of an encoded entry without its command, in bytes.
constexpr std::size_t entryOverhead = 64;

std::size_t sizeOf(const LogEntry &entry)
{
    const auto *command = std::get_if<CommandBytes>(&entry.payload);
    return entryOverhead + (command == nullptr ? 0 : command->bytes.size());
}

/** Whether the stored entries contain or directly follow the entry at the snapshot's index. */
bool isConsistent(const SnapshotMeta &meta, const std::vector<LogEntry> &entries)
{
    if (entries.empty() || entries.back().index < meta.index) {
        return false;
    }
    if (entries.front().index > meta.index) {
        return entries.front().index == meta.index + 1;
    }
    return entries[meta.index - entries.front().index].term == meta.term;
}

} // namespace

ReplicaLog::ReplicaLog(const std::optional<Snapshot> &snapshot, std::vector<LogEntry> stored)
{
    const SnapshotMeta meta = snapshot ? snapshot->meta : SnapshotMeta {};
    if (meta.index == 0 || isConsistent(meta, stored)) {
        this->entries.assign(std::make_move_iterator(stored.begin()),
                             std::make_move_iterator(stored.end()));
    }
    if (this->entries.empty() || this->entries.front().index == meta.index + 1) {
        this->base = meta.index;
        this->baseTerm = meta.term;
    } else if (this->entries.front().index > 1) {
        // The term before the first entry is unknown, so the first entry becomes the base.
        this->base = this->entries.front().index;
        this->baseTerm = this->entries.front().term;
        this->entries.pop_front();
    }
    this->readConfigurations(snapshot);
}

void ReplicaLog::readConfigurations(const std::optional<Snapshot> &snapshot)
{
    this->configurations[0] = {};
    if (snapshot) {
        this->configurations[snapshot->meta.index] = snapshot->meta.configuration;
    }
    for (const LogEntry &entry : this->entries) {
        if (const auto *configuration = std::get_if<Configuration>(&entry.payload)) {
            this->configurations[entry.index] = *configuration;
        }
    }
}

Term ReplicaLog::lastTerm() const
{
    return this->entries.empty() ? this->baseTerm : this->entries.back().term;
}

std::optional<Term> ReplicaLog::termAt(LogIndex index) const
{
    if (index == this->base) {
        return this->baseTerm;
    }
    if (index < this->base || index > this->lastIndex()) {
        return std::nullopt;
    }
    return this->at(index).term;
}

const LogEntry &ReplicaLog::at(LogIndex index) const
{
    return this->entries[index - this->base - 1];
}

std::vector<LogEntry> ReplicaLog::slice(LogIndex from, std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (LogIndex index = from; index <= this->lastIndex(); ++index) {
        bytes += sizeOf(this->at(index));
        if (!result.empty() && bytes > maxBytes) {
            break;
        }
        result.push_back(this->at(index));
    }
    return result;
}

std::vector<LogEntry> ReplicaLog::range(LogIndex from, LogIndex to) const
{
    std::vector<LogEntry> result;
    for (LogIndex index = from; index <= to; ++index) {
        result.push_back(this->at(index));
    }
    return result;
}

void ReplicaLog::append(LogEntry entry)
{
    if (const auto *configuration = std::get_if<Configuration>(&entry.payload)) {
        this->configurations[entry.index] = *configuration;
    }
    this->entries.push_back(std::move(entry));
}

void ReplicaLog::truncateFrom(LogIndex index)
{
    while (this->lastIndex() >= index && !this->entries.empty()) {
        this->entries.pop_back();
    }
    this->configurations.erase(this->configurations.lower_bound(index), this->configurations.end());
}

void ReplicaLog::compactTo(LogIndex index)
{
    while (this->base < index && !this->entries.empty()) {
        this->base = this->entries.front().index;
        this->baseTerm = this->entries.front().term;
        this->entries.pop_front();
    }
    // The configuration in effect at the base is retained.
    const auto current = std::prev(this->configurations.upper_bound(this->base));
    this->configurations.erase(this->configurations.begin(), current);
}

void ReplicaLog::resetTo(const SnapshotMeta &meta)
{
    this->entries.clear();
    this->base = meta.index;
    this->baseTerm = meta.term;
    this->configurations.clear();
    this->configurations[meta.index] = meta.configuration;
}

LogIndex ReplicaLog::lastIndexWithTermUpTo(LogIndex index, Term term) const
{
    LogIndex candidate = std::min(index, this->lastIndex());
    while (candidate > this->base && this->at(candidate).term > term) {
        --candidate;
    }
    return std::max(candidate, this->base);
}

SnapshotMeta ReplicaLog::latestConfiguration() const
{
    const LogIndex index = std::max(this->configurationIndex(), this->base);
    return { index, this->termAt(index).value_or(0), this->configuration() };
}

const Configuration &ReplicaLog::configurationAt(LogIndex index) const
{
    const auto after = this->configurations.upper_bound(index);
    return after == this->configurations.begin() ? after->second : std::prev(after)->second;
}

} // namespace cassiaroad
