#pragma once

#include "schema/cassiaroad.capnp.h"
#include "version/routetable.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cassiaroad {

/** Announcement that an upstream sends as JSON (design, section 6.6). */
struct Announcement
{
    Upstream upstream;
    std::uint64_t heldGrants = 0; // version of the grants that the upstream has; 0: none
    // Shard numbers and keys that the upstream has released, with the epochs of their grants.
    std::vector<std::pair<std::uint32_t, Epoch>> released;
    std::vector<std::pair<std::string, Epoch>> releasedKeys;
    double load = 0.0;

    bool operator==(const Announcement &) const = default;
};

/** Why an announcement cannot be read. */
struct AnnouncementError
{
    std::string reason;

    bool operator==(const AnnouncementError &) const = default;
};

/** Reads the JSON of an announcement. Thread-safe. */
std::variant<Announcement, AnnouncementError> parseAnnouncement(std::string_view json);

/** Encodes an announcement for a call to the control group. Thread-safe. */
void encode(const Announcement &announcement, rpc::AnnounceRequest::Builder builder);

/**
 * Returns the JSON response to an accepted announcement. The upstream announces again after
 * @p announceMs milliseconds. Thread-safe.
 */
std::string acceptedAnnouncementJson(rpc::AnnounceReply::Accepted::Reader reply,
                                     std::int64_t announceMs);

/** Returns {"error": reason}. Thread-safe. */
std::string errorJson(const std::string &reason);

} // namespace cassiaroad
