#pragma once

#include "process/settings.h"
#include "version/routetable.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cassiaroad {

/** The request cannot be routed at all. */
struct BadRequest
{
    int status = 400;
    std::string reason;

    bool operator==(const BadRequest &) const = default;
};

/** Service and key of a request. */
struct Target
{
    const ServiceSettings *service = nullptr;
    std::string key;
    std::uint32_t shard = 0;
    std::uint32_t region = 0; // index of the home region

    bool operator==(const Target &) const = default;
};

/** The owner of a target at one revision. */
struct Owner
{
    UpstreamId upstream;
    std::string address;
    Epoch epoch = 0; // of the grant
    bool movedKey = false; // owns the key itself, not through its shard
    std::uint32_t shard = 0;

    bool operator==(const Owner &) const = default;
};

/** The target has no owner now: it is unassigned, or its owner is changing. */
struct NoOwner
{
    RouteState state = RouteState::Unassigned;
    MoveReason reason = MoveReason::Planned;

    bool operator==(const NoOwner &) const = default;
};

using Ownership = std::variant<Owner, NoOwner>;

/** Determines the service, key, home region and owner of a request. Pure; thread-safe. */
class Router
{
public:
    /** @p settings must outlive the router. */
    explicit Router(const Settings &settings);

    /**
     * Reads a request path "/<service>/<key>/...". @p forwarded: the request came from an entry
     * host of another region; such a request is refused with 508 unless this is its home region.
     */
    std::variant<Target, BadRequest> resolve(std::string_view path, bool forwarded) const;

    bool isLocal(const Target &target) const { return target.region == this->ownRegion; }

    /** Returns the owner of a target according to @p table. */
    static Ownership ownerOf(const Target &target, const RouteTable &table);

private:
    const Settings &settings;
    std::uint32_t ownRegion = 0;
};

} // namespace cassiaroad
