#pragma once

#include "version/routingtable.h"

#include <cstdint>
#include <map>
#include <string>

namespace cassiaroad {

/**
 * The routing table as gateways are told of it: the present one, the former ones that gateways may
 * still have, and the encoded changes between them. Pure; not thread-safe.
 */
class RoutingTableHistory
{
public:
    /** Forgets all tables. Tags of a later term are higher. */
    void startTerm(std::uint64_t term);

    /** Sets the present table; returns whether it is another one. */
    bool set(RoutingTable current);

    /** Tag of the present table. */
    std::uint64_t tag() const { return this->tableTag; }

    /** Tag of the table that changeFrom(@p tag) applies to: @p tag, or 0 for the empty table. */
    std::uint64_t baseOf(std::uint64_t tag) const { return this->former.contains(tag) ? tag : 0; }

    /** Returns the encoded change to the present table. Precondition: baseOf(@p base) is @p base.
     */
    const std::string &changeFrom(std::uint64_t base);

private:
    RoutingTable table;
    std::uint64_t tableTag = 0;
    std::map<std::uint64_t, RoutingTable> former; // by tag
    std::map<std::uint64_t, std::string> changes; // by tag of their base
};

} // namespace cassiaroad
