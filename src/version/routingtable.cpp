#include "version/routingtable.h"

#include <algorithm>

namespace cassiaroad {

const RoutedRange *RoutingTable::find(const std::string &service, KeyNumber key) const
{
    const auto table = this->ranges.find(service);
    if (table == this->ranges.end()) {
        return nullptr;
    }
    const std::vector<RoutedRange> &ranges = table->second;
    const auto after = std::upper_bound(
            ranges.begin(), ranges.end(), key,
            [](KeyNumber k, const RoutedRange &range) { return k < range.range.from; });
    if (after == ranges.begin() || !std::prev(after)->range.contains(key)) {
        return nullptr;
    }
    return &*std::prev(after);
}

bool RoutingTable::isEvacuated(const std::string &service) const
{
    bool hasEvacuated = false;
    for (const RoutedUpstream &routed : this->upstreams) {
        if (routed.upstream.service != service) {
            continue;
        }
        const bool isZoneEvacuated = this->evacuatedZones.contains(routed.upstream.zone);
        if (mayBeGivenWork(routed.upstream, isZoneEvacuated)) {
            return false;
        }
        hasEvacuated = hasEvacuated || isZoneEvacuated;
    }
    return hasEvacuated;
}

} // namespace cassiaroad
