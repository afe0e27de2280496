#pragma once

#include "process/logentry.h"

#include <string_view>

namespace cassiaroad {

/** One record of a log segment. */
struct LogRecord
{
    enum class Kind : std::uint32_t { HardState = 1, Entry = 2, Reset = 3 };

    Kind kind = Kind::Entry;
    std::uint64_t batch = 0; // number of the append that wrote the record; consecutive
    std::uint32_t remaining = 0; // records of the batch that follow this one
    LogIndex index = 0; // of the entry; in a Reset record, of the next entry
    Term term = 0;
    std::string payload;

    auto operator<=>(const LogRecord &) const = default;

    /** Adds the record with its length and checksum to @p out. */
    void appendTo(std::string &out) const;
    /** Size of the record in a file, in bytes. */
    std::size_t encodedSize() const;

    /** Reads the record at @p offset; nothing if it is incomplete or its checksum is wrong. */
    static std::optional<LogRecord> read(std::string_view bytes, std::size_t offset);
    /** Whether a valid record of a batch above @p batch starts at @p offset or later. */
    static bool isFollowedByLaterBatch(std::string_view bytes, std::size_t offset,
                                       std::uint64_t batch);
};

} // namespace cassiaroad
