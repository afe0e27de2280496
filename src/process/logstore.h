#pragma once

#include "process/logrecord.h"
#include "process/storagefile.h"

#include <deque>

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
 * corruption otherwise. After an error the store refuses all writes. Not thread-safe.
 */
class LogStore
{
public:
    explicit LogStore(StorageOptions options);

    /** Reads all segments, cuts a torn tail. Call once, before any other method. */
    std::variant<LogContent, Corruption, StorageError> load();

    /** Appends in one write and syncs. An entry replaces stored ones from its index on. */
    std::optional<StorageError> append(const std::optional<HardState> &hardState,
                                       const std::vector<LogEntry> &entries);

    /** Deletes the oldest segments as long as they hold only entries below @p index. */
    std::optional<StorageError> compactBefore(LogIndex index);

    /** Drops all entries; the next one is @p next. Keeps the hard state. */
    std::optional<StorageError> reset(LogIndex next);

private:
    struct Segment
    {
        std::string name;
        LogIndex lastIndex = 0; // highest that was ever in it
        std::uint64_t size = 0;
    };

    std::optional<Corruption> readSegment(Segment &segment, const std::string &bytes, bool last,
                                          LogContent &content);
    std::optional<Corruption> applyBatch(Segment &segment, const std::vector<LogRecord> &records,
                                         std::uint64_t offset, LogContent &content);
    std::optional<Corruption> applyEntry(Segment &segment, const LogRecord &record,
                                         std::uint64_t offset, LogContent &content);
    std::optional<StorageError> cut(const TornTail &tail);
    std::optional<StorageError> write(std::vector<LogRecord> records);
    std::optional<StorageError> writeBytes(const std::string &bytes);
    std::optional<StorageError> openSegment();
    std::optional<StorageError> removeOldest();
    std::optional<StorageError> fail(StorageError error);
    std::string pathOf(const std::string &name) const;

    StorageOptions options;
    std::deque<Segment> segments; // the last one is written
    std::optional<StorageFile> file;
    HardState hardState; // latest, repeated at the start of each segment
    std::uint64_t nextBatch = 1;
    std::optional<LogIndex> resetTo; // a Reset record was read and no entry since
    std::uint64_t written = 0; // bytes
    std::optional<StorageError> failed;
};

} // namespace cassiaroad
