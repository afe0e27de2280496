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

// Guards against waking every gateway when nothing has changed.
TEST(RoutingTableHistory, keepsItsTagWhileTheTableIsTheSame)
{
    RoutingTableHistory feed;
    feed.startTerm(2);
    EXPECT_TRUE(feed.set(tableOf("i-1")));
    const std::uint64_t tag = feed.tag();
    EXPECT_FALSE(feed.set(tableOf("i-1")));
    EXPECT_EQ(feed.tag(), tag);
}

// Guards against a gateway that keeps a former table: the change from any table that the feed
// still knows, and from the empty one, leads to the present one.
TEST(RoutingTableHistory, leadsFromFormerTablesToThePresentOne)
{
    RoutingTableHistory feed;
    feed.startTerm(2);
    feed.set(tableOf("i-1"));
    const std::uint64_t former = feed.tag();
    feed.set(tableOf("i-2"));
    feed.set(tableOf("i-3"));
    ASSERT_EQ(feed.baseOf(former), former);
    const auto change = decodeRoutingChange(feed.changeFrom(former));
    ASSERT_TRUE(change.has_value());
    EXPECT_EQ(applyChange(tableOf("i-1"), *change), tableOf("i-3"));
    const auto whole = decodeRoutingChange(feed.changeFrom(0));
    ASSERT_TRUE(whole.has_value());
    EXPECT_EQ(applyChange({}, *whole), tableOf("i-3"));
}

// Guards against a gateway that takes the table of an earlier leader for a later one, or a change
// for one of its own term.
TEST(RoutingTableHistory, startsEachTermWithHigherTagsAndNoFormerTables)
{
    RoutingTableHistory feed;
    feed.startTerm(2);
    feed.set(tableOf("i-1"));
    const std::uint64_t former = feed.tag();
    feed.startTerm(3);
    EXPECT_GT(feed.tag(), former);
    EXPECT_EQ(feed.baseOf(former), 0U);
}
