#include "process/storagefile.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace cassiaroad {

namespace {

constexpr mode_t fileMode = 0600;

StorageError failure(const std::string &file, const std::string &operation)
{
    return { file, operation, errno };
}

} // namespace

StorageFile::StorageFile(std::string path, int descriptor)
    : filePath(std::move(path))
    , descriptor(descriptor)
{ }

StorageFile::StorageFile(StorageFile &&other) noexcept
    : filePath(std::move(other.filePath))
    , descriptor(std::exchange(other.descriptor, -1))
{ }

StorageFile &StorageFile::operator=(StorageFile &&other) noexcept
{
    std::swap(this->filePath, other.filePath);
    std::swap(this->descriptor, other.descriptor);
    return *this;
}

StorageFile::~StorageFile()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

std::variant<StorageFile, StorageError> StorageFile::openForAppend(const std::string &path)
{
    const int descriptor
            = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, fileMode);
    if (descriptor < 0) {
        return failure(path, "open");
    }
    return StorageFile(path, descriptor);
}

std::optional<StorageError> StorageFile::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(this->descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno != EINTR) {
            return failure(this->filePath, "write");
        }
        bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(written, 0)));
    }
    return std::nullopt;
}

std::optional<StorageError> StorageFile::sync()
{
    if (::fdatasync(this->descriptor) != 0) {
        return failure(this->filePath, "sync");
    }
    return std::nullopt;
}

std::optional<StorageError> StorageFile::truncate(std::uint64_t size)
{
    if (::ftruncate(this->descriptor, static_cast<off_t>(size)) != 0) {
        return failure(this->filePath, "truncate");
    }
    return this->sync();
}

std::variant<std::string, StorageError> readWholeFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    if (!stream
        || (stream.peek() != std::ifstream::traits_type::eof() && !(content << stream.rdbuf()))) {
        return failure(path, "read");
    }
    return std::move(content).str();
}

std::vector<std::string> listFolder(const std::string &folder)
{
    std::vector<std::string> names;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
        names.push_back(entry.path().filename().string());
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::optional<StorageError> syncFolder(const std::string &folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return failure(folder, "open");
    }
    const bool synced = ::fsync(descriptor) == 0;
    const StorageError error = failure(folder, "sync");
    ::close(descriptor);
    return synced ? std::nullopt : std::optional(error);
}

std::optional<StorageError> removeFile(const std::string &path)
{
    if (::unlink(path.c_str()) != 0 && errno != ENOENT) {
        return failure(path, "remove");
    }
    return std::nullopt;
}

std::optional<StorageError> replaceFile(const std::string &folder, const std::string &name,
                                        std::string_view content)
{
    const std::string path = folder + "/" + name;
    const std::string temporary = path + std::string(temporarySuffix);
    if (auto error = removeFile(temporary)) {
        return error;
    }
    auto opened = StorageFile::openForAppend(temporary);
    if (auto *error = std::get_if<StorageError>(&opened)) {
        return *error;
    }
    StorageFile &file = std::get<StorageFile>(opened);
    if (auto error = file.write(content)) {
        return error;
    }
    if (auto error = file.sync()) {
        return error;
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        return failure(path, "rename");
    }
    return syncFolder(folder);
}

} // namespace cassiaroad
