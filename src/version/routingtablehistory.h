#pragma once

#include "version/routingtable.h"

#include <cstdint>
#include <map>
#include <string>

namespace cassiaroad {

/** Returns the term of the leader that has made the table with @p tag. Thread-safe. */
std::uint64_t termOfTable(std::uint64_t tag);

/**
 * Present routing table, the former tables that gateways may still have, and the encoded changes
 * from these to the present one. Pure; not thread-safe.
 */
class RoutingTableHistory
{
public:
    /** Drops all tables and starts with the empty one. Tags of a later term are higher. */
    void startTerm(std::uint64_t term);

    /** Sets the present table; returns whether it differs from the previous one. */
    bool set(RoutingTable current);

    /** Tag of the present table. */
    std::uint64_t tag() const { return this->tableTag; }

    /** Returns @p tag if it is that of a stored former table, else 0, the tag of the empty table.
     */
    std::uint64_t baseOf(std::uint64_t tag) const { return this->former.contains(tag) ? tag : 0; }

    /**
     * Returns the encoded change from the table with tag @p base to the present one. Precondition:
     * @p base was returned by baseOf(). Valid until the next set().
     */
    const std::string &changeFrom(std::uint64_t base);

private:
    RoutingTable table;
    std::uint64_t tableTag = 0;
    std::map<std::uint64_t, RoutingTable> former; // by tag
    std::map<std::uint64_t, std::string> changes; // to the present table, by tag of the former one
};

} // namespace cassiaroad
