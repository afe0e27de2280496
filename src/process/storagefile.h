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
    std::uint64_t segmentBytes = 4ULL * 1024 * 1024; // a segment of this size gets no more appends
    std::uint64_t maxBytes = 0; // of all log writes since the store was opened; 0: no limit
};

/** A file that is opened for appending and closed by the destructor. Not thread-safe. */
class StorageFile
{
public:
    /** Opens @p path; creates the file if it does not exist. */
    static std::variant<StorageFile, StorageError> openForAppend(const std::string &path);

    StorageFile(StorageFile &&other) noexcept;
    StorageFile &operator=(StorageFile &&other) noexcept;
    ~StorageFile();

    /** Writes all bytes; after an error some of them may have been written. */
    std::optional<StorageError> write(std::string_view bytes);
    /** Syncs content and size (fdatasync). */
    std::optional<StorageError> sync();
    /** Truncates the file to @p size bytes and syncs it. */
    std::optional<StorageError> truncate(std::uint64_t size);

    const std::string &path() const { return this->filePath; }

private:
    StorageFile(std::string path, int descriptor);

    std::string filePath;
    int descriptor = -1;
};

std::variant<std::string, StorageError> readWholeFile(const std::string &path);
/** Names of the files in a folder, ascending; none if the folder does not exist. */
std::vector<std::string> listFolder(const std::string &folder);
/** Syncs the folder itself, so that created, renamed and removed files stay so after a crash. */
std::optional<StorageError> syncFolder(const std::string &folder);
/** Removes a file; it is no error if the file does not exist. */
std::optional<StorageError> removeFile(const std::string &path);
/** Writes a temporary file beside file @p name, syncs it, renames it and syncs the folder. */
std::optional<StorageError> replaceFile(const std::string &folder, const std::string &name,
                                        std::string_view content);

/** Suffix of the temporary files of replaceFile(); files with it may be deleted at a start. */
inline constexpr std::string_view temporarySuffix = ".tmp";

} // namespace cassiaroad
