#include "process/snapshotstore.h"

#include "process/logcodec.h"

#include <array>
#include <cstdio>
#include <cstring>
#include <xxhash.h>

namespace cassiaroad {

namespace {

constexpr std::string_view snapshotPrefix = "snapshot-";

/** Header of a snapshot file, in the byte order of the machine. */
struct Header
{
    std::uint64_t checksum = 0; // XXH3 of all bytes after it
    std::uint64_t metaLength = 0; // bytes of the metadata; the rest of the file is the data
};

std::string snapshotName(LogIndex index)
{
    std::array<char, 40> name {};
    std::snprintf(name.data(), name.size(), "snapshot-%016llx",
                  static_cast<unsigned long long>(index));
    return name.data();
}

std::string encodeFile(const Snapshot &snapshot)
{
    const std::string meta = encodeSnapshotMeta(snapshot.meta);
    Header header;
    header.metaLength = meta.size();
    std::string bytes(reinterpret_cast<const char *>(&header), sizeof(header));
    bytes += meta;
    bytes += *snapshot.data;
    header.checksum = XXH3_64bits(bytes.data() + sizeof(header.checksum),
                                  bytes.size() - sizeof(header.checksum));
    std::memcpy(bytes.data(), &header.checksum, sizeof(header.checksum));
    return bytes;
}

std::optional<Snapshot> decodeFile(std::string_view bytes)
{
    Header header;
    if (bytes.size() < sizeof(header)) {
        return std::nullopt;
    }
    std::memcpy(&header, bytes.data(), sizeof(header));
    const std::string_view checked = bytes.substr(sizeof(header.checksum));
    const std::string_view body = bytes.substr(sizeof(header));
    if (header.checksum != XXH3_64bits(checked.data(), checked.size())
        || header.metaLength > body.size()) {
        return std::nullopt;
    }
    const auto meta = decodeSnapshotMeta(body.substr(0, header.metaLength));
    if (!meta) {
        return std::nullopt;
    }
    return Snapshot { *meta, std::make_shared<const std::string>(body.substr(header.metaLength)) };
}

} // namespace

SnapshotStore::SnapshotStore(StorageOptions settings)
    : options(std::move(settings))
{ }

std::optional<StorageError> SnapshotStore::removeExcept(const std::string &retained)
{
    for (const std::string &name : listFolder(this->options.folder)) {
        if (name.starts_with(snapshotPrefix) && name != retained) {
            if (auto error = removeFile(this->options.folder + "/" + name)) {
                return error;
            }
        }
    }
    return std::nullopt;
}

SnapshotStore::LoadResult SnapshotStore::load()
{
    std::string latest;
    for (const std::string &name : listFolder(this->options.folder)) {
        if (name.starts_with(snapshotPrefix) && !name.ends_with(temporarySuffix)) {
            latest = name;
        }
    }
    std::optional<Snapshot> snapshot;
    if (!latest.empty()) {
        const std::string path = this->options.folder + "/" + latest;
        const auto bytes = readWholeFile(path);
        if (const auto *error = std::get_if<StorageError>(&bytes)) {
            return *error;
        }
        snapshot = decodeFile(std::get<std::string>(bytes));
        if (!snapshot) {
            return Corruption { path, 0, "snapshot with a wrong checksum" };
        }
    }
    if (auto error = this->removeExcept(latest)) {
        return *error;
    }
    return snapshot;
}

std::optional<StorageError> SnapshotStore::save(const Snapshot &snapshot)
{
    const std::string name = snapshotName(snapshot.meta.index);
    if (auto error = replaceFile(this->options.folder, name, encodeFile(snapshot))) {
        return error;
    }
    return this->removeExcept(name);
}

} // namespace cassiaroad
