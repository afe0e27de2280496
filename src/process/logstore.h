#pragma once

#include "process/logentry.h"
#include "process/storagefile.h"

#include <map>

namespace cassiaroad {

/** An incomplete write at the end of the log, as a crash leaves it. */
struct TornTail
{
    std::string file;
    std::uint64_t offset = 0; // where the file was cut

    bool operator==(const TornTail &) const = default;
};

/** What the segments hold. */
struct LogContent
{
    HardState hardState;
    std::vector<LogEntry> entries; // without gaps
    std::optional<TornTail> tornTail;
};

/**
 * Log entries and hard state in segment files. A record has a length, an index, a term and an XXH3
 * checksum. The records of one append form a batch; a batch is written only after the one before it
 * was synced. So a damaged record is a torn write if no record of a later batch follows, and
 * corruption otherwise. Not thread-safe.
 */
class LogStore
{
public:
    explicit LogStore(StorageOptions options);

    /** Reads all segments, cuts a torn tail. Call once, before append(). */
    std::variant<LogContent, Corruption, StorageError> load();

    /** Appends hard state and entries in one write and syncs. Entries replace stored ones. */
    std::optional<StorageError> append(const std::optional<HardState> &hardState,
                                       const std::vector<LogEntry> &entries);

    /** Deletes segments that hold only entries below @p index. */
    std::optional<StorageError> compactBefore(LogIndex index);

    /** Drops all entries; the next one is @p next. Keeps the hard state. */
    std::optional<StorageError> reset(LogIndex next);

private:
    StorageOptions options;
};

} // namespace cassiaroad
