#pragma once

#include "process/storageerror.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Where and how a member stores its data. */
struct StorageOptions
{
    std::string folder;
    std::uint64_t segmentBytes = 4ULL * 1024 * 1024; // the append that exceeds it is the last
    std::uint64_t maxBytes = 0; // of all log writes since it was opened; 0: no limit
};

/** A file that is written at its end. Closes the descriptor. Not thread-safe. */
class StorageFile
{
public:
    /** Opens @p path, creates it if it is not there. */
    static std::variant<StorageFile, StorageError> openForAppend(const std::string &path);

    StorageFile(StorageFile &&other) noexcept;
    StorageFile &operator=(StorageFile &&other) noexcept;
    ~StorageFile();

    /** Writes all bytes, or fails after some of them. */
    std::optional<StorageError> write(std::string_view bytes);
    /** Syncs content and size (fdatasync). */
    std::optional<StorageError> sync();
    std::optional<StorageError> truncate(std::uint64_t size);

    const std::string &path() const { return this->filePath; }

private:
    StorageFile(std::string path, int descriptor);

    std::string filePath;
    int descriptor = -1;
};

std::variant<std::string, StorageError> readWholeFile(const std::string &path);
/** Names in a folder, ascending; none if there is no folder. */
std::vector<std::string> listFolder(const std::string &folder);
std::optional<StorageError> syncFolder(const std::string &folder);
std::optional<StorageError> removeFile(const std::string &path);
/** Writes a temporary file beside @p path, syncs it, renames it, syncs the folder. */
std::optional<StorageError> replaceFile(const std::string &folder, const std::string &name,
                                        std::string_view content);

/** Ending of the temporary files of replaceFile(); leftovers may be deleted. */
inline constexpr std::string_view temporarySuffix = ".tmp";

} // namespace cassiaroad
