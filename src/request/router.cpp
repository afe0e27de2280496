#include "request/router.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr std::size_t maxKeyLength = 128;
constexpr int notFound = 404;
constexpr int loopDetected = 508;

bool isKeyCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9') || character == '.' || character == '_'
           || character == '~' || character == '-';
}

// Whether a key is valid. Dot segments are not, since some clients and servers resolve them and
// others do not.
bool isKey(std::string_view key)
{
    return !key.empty() && key.size() <= maxKeyLength && key != "." && key != ".."
           && std::all_of(key.begin(), key.end(), isKeyCharacter);
}

// Whether a path has visible ASCII characters only. Spaces and control characters could end the
// request line that is sent to the upstream.
bool isVisible(std::string_view path)
{
    return std::all_of(path.begin(), path.end(),
                       [](char character) { return character > ' ' && character < '\x7f'; });
}

} // namespace

Router::Router(const Settings &settings)
    : settings(settings)
{
    for (std::size_t i = 0; i < settings.regions.size(); ++i) {
        if (settings.regions[i].name == settings.region) {
            this->ownRegion = static_cast<std::uint32_t>(i);
        }
    }
}

std::variant<Target, BadRequest> Router::resolve(std::string_view path, bool forwarded) const
{
    if (path.empty() || path.front() != '/' || !isVisible(path)) {
        return BadRequest { 400, "the path is not of the form /<service>/<key>/..." };
    }
    const std::string_view segments = path.substr(1, path.find_first_of("?#") - 1);
    const std::size_t slash = segments.find('/');
    if (slash == std::string_view::npos) {
        return BadRequest { 400, "the path has no key" };
    }
    const std::string_view name = segments.substr(0, slash);
    const std::string_view rest = segments.substr(slash + 1);
    const std::string_view key = rest.substr(0, rest.find('/'));
    if (!isKey(key)) {
        return BadRequest { 400, "the key does not match [A-Za-z0-9._~-]{1,128}" };
    }
    const auto service = std::find_if(
            this->settings.services.begin(), this->settings.services.end(),
            [&](const ServiceSettings &candidate) { return candidate.name == name; });
    if (service == this->settings.services.end()) {
        return BadRequest { notFound, "no such service" };
    }
    Target target { &*service, std::string(key), shardOfKey(key, service->shards), 0 };
    target.region = homeRegionOfShard(target.shard,
                                      static_cast<std::uint32_t>(this->settings.regions.size()));
    if (forwarded && !this->isLocal(target)) {
        return BadRequest { loopDetected, "the request was forwarded to the wrong region" };
    }
    return target;
}

Ownership Router::ownerOf(const Target &target, const RouteTable &table)
{
    const RouteLookup found
            = table.lookup(target.service->name, target.key, target.service->shards);
    if (found.route.state != RouteState::Owned || found.upstream == nullptr) {
        return NoOwner { found.route.state, found.route.reason };
    }
    return Owner { found.upstream->id, found.upstream->address, found.route.epoch, found.movedKey,
                   found.shard };
}

} // namespace cassiaroad
