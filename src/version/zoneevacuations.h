#pragma once

#include <set>
#include <string>
#include <vector>

namespace cassiaroad {

/** An availability zone whose evacuation begins or ends. */
struct EvacuationChange
{
    std::string zone;
    bool started = false;

    bool operator==(const EvacuationChange &) const = default;
};

/** Zones whose upstreams get no work, as operators have ordered. Pure; not thread-safe. */
class ZoneEvacuations
{
public:
    ZoneEvacuations() = default;
    /** @p withdrawn are the zones whose evacuation was ordered and has ended. */
    ZoneEvacuations(std::set<std::string> evacuated, std::set<std::string> withdrawn);

    /** Applies an order. Returns whether it changes anything. */
    bool apply(const EvacuationChange &order);

    bool contains(const std::string &zone) const { return this->evacuated.contains(zone); }
    /** Whether an order for @p zone was ever applied. */
    bool hasOrderFor(const std::string &zone) const;

    /** Zones that are evacuated now. */
    const std::set<std::string> &zones() const { return this->evacuated; }
    /** Zones whose evacuation has ended. */
    const std::set<std::string> &formerZones() const { return this->withdrawn; }

    bool operator==(const ZoneEvacuations &) const = default;

private:
    std::set<std::string> evacuated;
    // A repeated withdrawal is accepted although the zone may have no upstreams any more.
    std::set<std::string> withdrawn;
};

/** Returns the evacuations that begin and end from @p before to @p after. Thread-safe. */
std::vector<EvacuationChange> evacuationChanges(const std::set<std::string> &before,
                                                const std::set<std::string> &after);

} // namespace cassiaroad
