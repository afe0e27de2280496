#pragma once

#include "process/logrecord.h"
#include "process/storagefile.h"

#include <deque>

namespace cassiaroad {

/** An incomplete write at the end of the log, left by a crash. */
struct TornTail
{
    std::string file;
    std::uint64_t offset = 0; // size to which the file was truncated

    bool operator==(const TornTail &) const = default;
};

/** Content of all segments. */
struct LogContent
{
    HardState hardState;
    std::vector<LogEntry> entries; // without gaps
    std::optional<TornTail> tornTail;
};

/**
 * Stores log entries and hard state in segment files. A record has a length, an index, a term and
 * an XXH3 checksum. The records of one append form a batch; a batch is written only after the
 * previous one was synced. A damaged record is therefore a torn write if no record of a later batch
 * follows, and corruption otherwise. After an error the store refuses all writes. Not thread-safe.
 */
class LogStore
{
public:
    explicit LogStore(StorageOptions options);

    /** Reads all segments and truncates a torn tail. Call once, before any other method. */
    std::variant<LogContent, Corruption, StorageError> load();

    /** Appends in one write and syncs it. An entry replaces the stored ones from its index on. */
    std::optional<StorageError> append(const std::optional<HardState> &hardState,
                                       const std::vector<LogEntry> &entries);

    /** Deletes the oldest segments as long as they contain only entries below @p index. */
    std::optional<StorageError> compactBefore(LogIndex index);

    /** Drops all entries and retains the hard state; the next entry has index @p next. */
    std::optional<StorageError> reset(LogIndex next);

private:
    struct Segment
    {
        std::string name;
        LogIndex lastIndex = 0; // highest index that was ever written to the segment
        std::uint64_t size = 0; // in bytes
    };

    std::optional<Corruption> readSegment(Segment &segment, const std::string &bytes, bool isLast,
                                          LogContent &content);
    std::optional<Corruption> applyBatch(Segment &segment, const std::vector<LogRecord> &records,
                                         std::uint64_t offset, LogContent &content);
    std::optional<Corruption> applyEntry(Segment &segment, const LogRecord &record,
                                         std::uint64_t offset, LogContent &content);
    std::optional<StorageError> truncateTornTail(const TornTail &tail);
    /** Writes the records as one batch and syncs it. */
    std::optional<StorageError> write(std::vector<LogRecord> records);
    /** Writes and syncs @p bytes; beyond StorageOptions::maxBytes it fails like a full disk. */
    std::optional<StorageError> writeBytes(const std::string &bytes);
    /** Opens the last segment for appending; begins a new one if there is none or it is full. */
    std::optional<StorageError> openSegment();
    std::optional<StorageError> removeOldestSegment();
    /** Records the error, so that all later writes are refused, and returns it. */
    std::optional<StorageError> fail(StorageError error);
    std::string pathOf(const std::string &name) const;

    StorageOptions options;
    std::deque<Segment> segments; // the last one is appended to
    std::optional<StorageFile> file;
    HardState hardState; // latest, repeated at the start of each segment
    std::uint64_t nextBatch = 1;
    std::optional<LogIndex> resetTo; // index in a Reset record that no entry has followed yet
    std::uint64_t writtenBytes = 0; // since the store was opened
    std::optional<StorageError> firstError; // refuses all later writes
};

} // namespace cassiaroad
