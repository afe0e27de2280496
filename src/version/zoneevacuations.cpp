#include "version/zoneevacuations.h"

#include <utility>

namespace cassiaroad {

ZoneEvacuations::ZoneEvacuations(std::set<std::string> evacuated, std::set<std::string> withdrawn)
    : evacuated(std::move(evacuated))
    , withdrawn(std::move(withdrawn))
{ }

bool ZoneEvacuations::apply(const EvacuationChange &order)
{
    const bool changes = this->contains(order.zone) != order.started;
    std::set<std::string> &added = order.started ? this->evacuated : this->withdrawn;
    std::set<std::string> &removed = order.started ? this->withdrawn : this->evacuated;
    added.insert(order.zone);
    removed.erase(order.zone);
    return changes;
}

bool ZoneEvacuations::hasOrderFor(const std::string &zone) const
{
    return this->evacuated.contains(zone) || this->withdrawn.contains(zone);
}

std::vector<EvacuationChange> evacuationChanges(const std::set<std::string> &before,
                                                const std::set<std::string> &after)
{
    std::vector<EvacuationChange> changes;
    for (const std::string &zone : after) {
        if (!before.contains(zone)) {
            changes.push_back({ zone, true });
        }
    }
    for (const std::string &zone : before) {
        if (!after.contains(zone)) {
            changes.push_back({ zone, false });
        }
    }
    return changes;
}

} // namespace cassiaroad
