#pragma once

#include "process/member.h"
#include "process/storagefile.h"

namespace cassiaroad {

/** The member that a data folder belongs to and how often it was started. */
struct MemberIdentity
{
    MemberId member;
    std::uint64_t startCounter = 0;

    auto operator<=>(const MemberIdentity &) const = default;
};

/** Reads the identity of @p folder; nothing if the folder has none. */
std::variant<std::optional<MemberIdentity>, Corruption, StorageError> readIdentity(
        const std::string &folder);

/** Replaces the identity and syncs it. */
std::optional<StorageError> writeIdentity(const std::string &folder,
                                          const MemberIdentity &identity);

/** Removes the identity; the rest of the folder then counts as empty. */
std::optional<StorageError> removeIdentity(const std::string &folder);

} // namespace cassiaroad
