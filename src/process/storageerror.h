#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cassiaroad {

/** A file operation that failed. */
struct StorageError
{
    std::string file;
    std::string operation; // "write", "sync", ...
    int errorNumber = 0; // errno; ENOSPC when the disk or the size limit is full

    auto operator<=>(const StorageError &) const = default;
    /** Returns "operation file: reason". */
    std::string toString() const;
};

/** Stored data that does not match its checksum, or is missing. */
struct Corruption
{
    std::string file;
    std::uint64_t offset = 0; // in bytes
    std::string reason;

    auto operator<=>(const Corruption &) const = default;
    /** Returns "file at byte offset: reason". */
    std::string toString() const;
};

} // namespace cassiaroad
