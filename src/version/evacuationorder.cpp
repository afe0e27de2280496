#include "version/evacuationorder.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr std::size_t maxListedUpstreams = 20; // in one line of the log

std::size_t ownedRanges(const SiteUpstream &upstream, const RegistryState &state)
{
    const auto table = state.ranges().find(upstream.service);
    if (table == state.ranges().end()) {
        return 0;
    }
    const std::vector<RangeOwner> &owners = table->second.owners();
    return static_cast<std::size_t>(
            std::count_if(owners.begin(), owners.end(), [&](const RangeOwner &entry) {
                return entry.owner == upstream.incarnation;
            }));
}

} // namespace

std::optional<std::string> findUnknownZoneReason(const std::string &zone,
                                                 const RegistryState &state,
                                                 const SiteSettings &settings)
{
    const auto &upstreams = state.upstreams();
    const bool hasUpstream
            = std::any_of(upstreams.begin(), upstreams.end(),
                          [&](const auto &entry) { return entry.second.zone == zone; });
    if (hasUpstream || zone == settings.zone || settings.regions.contains(zone)
        || state.evacuations().hasOrderFor(zone)) {
        return std::nullopt;
    }
    return "zone \"" + zone + "\" is in no setting and has no upstream";
}

EvacuationScope evacuationScope(const std::string &zone, const RegistryState &state)
{
    EvacuationScope scope;
    for (const auto &[id, upstream] : state.upstreams()) {
        if (upstream.zone != zone) {
            continue;
        }
        if (++scope.upstreams <= maxListedUpstreams) {
            scope.ids += (scope.ids.empty() ? "" : ",") + id;
        }
        scope.ranges += ownedRanges(upstream, state);
    }
    return scope;
}

} // namespace cassiaroad
