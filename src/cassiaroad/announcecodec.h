#pragma once

#include "schema/cassiaroad.capnp.h"
#include "version/routetable.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace cassiaroad {

/** An announcement of an upstream, as received in JSON (design, section 6.6). */
struct Announcement
{
    Upstream upstream;
    std::uint64_t heldGrants = 0;
    std::vector<std::pair<std::uint32_t, Epoch>> released; // shard numbers
    std::vector<std::pair<std::string, Epoch>> releasedKeys;
    double load = 0.0;

    bool operator==(const Announcement &) const = default;
};

/** Why an announcement cannot be read. */
struct AnnouncementFault
{
    std::string reason;

    bool operator==(const AnnouncementFault &) const = default;
};

/** Reads the JSON of an announcement. Thread-safe. */
std::variant<Announcement, AnnouncementFault> parseAnnouncement(std::string_view json);

/** Writes an announcement into a call to the control group. Thread-safe. */
void encode(const Announcement &announcement, rpc::AnnounceRequest::Builder builder);

/** Returns the JSON answer to an accepted announcement. @p announceMs: when to announce again. */
std::string acceptedAnnouncementJson(rpc::AnnounceReply::Accepted::Reader reply,
                                     std::int64_t announceMs);

/** Returns {"error": reason}. Thread-safe. */
std::string errorJson(const std::string &reason);

} // namespace cassiaroad
