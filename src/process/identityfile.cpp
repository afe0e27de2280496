#include "process/identityfile.h"

#include <algorithm>
#include <sstream>
#include <xxhash.h>

namespace cassiaroad {

namespace {

const std::string fileName = "identity";

std::uint64_t checksumOf(const MemberIdentity &identity)
{
    std::ostringstream text;
    text << identity.member.number << ' ' << identity.member.incarnation << ' '
         << identity.startCounter;
    const std::string bytes = text.str();
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace

std::variant<std::optional<MemberIdentity>, Corruption, StorageError> readIdentity(
        const std::string &folder)
{
    const std::vector<std::string> names = listFolder(folder);
    if (std::find(names.begin(), names.end(), fileName) == names.end()) {
        return std::optional<MemberIdentity>();
    }
    const std::string path = folder + "/" + fileName;
    const auto content = readWholeFile(path);
    if (const auto *error = std::get_if<StorageError>(&content)) {
        return *error;
    }
    std::istringstream text(std::get<std::string>(content));
    MemberIdentity identity;
    std::uint64_t checksum = 0;
    text >> identity.member.number >> identity.member.incarnation >> identity.startCounter
            >> checksum;
    if (!text || checksum != checksumOf(identity)) {
        return Corruption { path, 0, "wrong checksum" };
    }
    return identity;
}

std::optional<StorageError> writeIdentity(const std::string &folder, const MemberIdentity &identity)
{
    std::ostringstream text;
    text << identity.member.number << ' ' << identity.member.incarnation << ' '
         << identity.startCounter << ' ' << checksumOf(identity) << '\n';
    return replaceFile(folder, fileName, text.str());
}

std::optional<StorageError> removeIdentity(const std::string &folder)
{
    if (auto error = removeFile(folder + "/" + fileName)) {
        return error;
    }
    return syncFolder(folder);
}

} // namespace cassiaroad
