#include "version/routingtablehistory.h"

#include "version/routingchange.h"

#include <utility>

namespace cassiaroad {

namespace {

// Gateways that lag further behind get the whole table.
constexpr std::size_t mostFormerTables = 40;
constexpr int tagBitsOfTerm = 24; // changes of the routing table in one term

} // namespace

void RoutingTableHistory::startTerm(std::uint64_t term)
{
    this->table = {};
    this->tableTag = term << tagBitsOfTerm;
    this->former.clear();
    this->changes.clear();
}

bool RoutingTableHistory::set(RoutingTable current)
{
    if (current == this->table) {
        return false;
    }
    this->former[this->tableTag] = std::exchange(this->table, std::move(current));
    if (this->former.size() > mostFormerTables) {
        this->former.erase(this->former.begin());
    }
    this->changes.clear();
    ++this->tableTag;
    return true;
}

// Most gateways have the same former table, so the change from it is made once.
const std::string &RoutingTableHistory::changeFrom(std::uint64_t base)
{
    const auto [entry, isNew] = this->changes.try_emplace(base);
    if (isNew) {
        const auto before = this->former.find(base);
        entry->second = encode(changeBetween(
                before == this->former.end() ? RoutingTable() : before->second, this->table));
    }
    return entry->second;
}

} // namespace cassiaroad
