#include "version/routingtablehistory.h"

#include "version/routingchange.h"

#include <utility>

namespace cassiaroad {

namespace {

// A gateway whose table is older receives the complete table.
constexpr std::size_t maxFormerTables = 40;
constexpr int changeCountBits = 24; // low bits of a tag: changes of the table within a term

} // namespace

std::uint64_t termOfTable(std::uint64_t tag)
{
    return tag >> changeCountBits;
}

void RoutingTableHistory::startTerm(std::uint64_t term)
{
    this->table = {};
    this->tableTag = term << changeCountBits;
    this->former.clear();
    this->changes.clear();
}

bool RoutingTableHistory::set(RoutingTable current)
{
    if (current == this->table) {
        return false;
    }
    this->former[this->tableTag] = std::exchange(this->table, std::move(current));
    if (this->former.size() > maxFormerTables) {
        this->former.erase(this->former.begin());
    }
    this->changes.clear();
    ++this->tableTag;
    return true;
}

// Most gateways have the same former table, so the change from it is encoded once and stored.
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
