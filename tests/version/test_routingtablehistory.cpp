#include "version/routingtablehistory.h"

#include "version/routingchange.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

RoutingTable tableOf(const std::string &owner)
{
    RoutingTable table;
    table.ranges["orders"] = { { { 0, lastKey }, owner, RangePhase::Owned } };
    return table;
}

} // namespace

// Guards against notifying every gateway when nothing has changed.
TEST(RoutingTableHistory, keepsItsTagWhileTheTableIsTheSame)
{
    RoutingTableHistory tableHistory;
    tableHistory.startTerm(2);
    EXPECT_TRUE(tableHistory.set(tableOf("i-1")));
    const std::uint64_t tag = tableHistory.tag();
    EXPECT_FALSE(tableHistory.set(tableOf("i-1")));
    EXPECT_EQ(tableHistory.tag(), tag);
}

// Guards against a gateway that stays with a former table: the change from any stored table, and
// from the empty one, results in the present one.
TEST(RoutingTableHistory, leadsFromFormerTablesToThePresentOne)
{
    RoutingTableHistory tableHistory;
    tableHistory.startTerm(2);
    tableHistory.set(tableOf("i-1"));
    const std::uint64_t former = tableHistory.tag();
    tableHistory.set(tableOf("i-2"));
    tableHistory.set(tableOf("i-3"));
    ASSERT_EQ(tableHistory.baseOf(former), former);
    const auto change = decodeRoutingChange(tableHistory.changeFrom(former));
    ASSERT_TRUE(change.has_value());
    EXPECT_EQ(applyChange(tableOf("i-1"), *change), tableOf("i-3"));
    const auto complete = decodeRoutingChange(tableHistory.changeFrom(0));
    ASSERT_TRUE(complete.has_value());
    EXPECT_EQ(applyChange({}, *complete), tableOf("i-3"));
}

// Guards against a gateway that mistakes the table of an earlier leader for a later one, or applies
// a change of another term to its table.
TEST(RoutingTableHistory, startsEachTermWithHigherTagsAndNoFormerTables)
{
    RoutingTableHistory tableHistory;
    tableHistory.startTerm(2);
    tableHistory.set(tableOf("i-1"));
    const std::uint64_t former = tableHistory.tag();
    tableHistory.startTerm(3);
    EXPECT_GT(tableHistory.tag(), former);
    EXPECT_EQ(tableHistory.baseOf(former), 0U);
}
