#include "registry/slotfinder.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const std::vector<std::string> seeds { "10.0.0.1", "10.0.0.2", "10.0.0.3" };

} // namespace

// Guards against a first seed that founds a group before another seed says that there is none.
TEST(SlotFinder, foundsOnlyWhenAnotherSeedKnowsNoGroup)
{
    SlotFinder finder("10.0.0.1", seeds, true);
    EXPECT_EQ(finder.targets(), (std::vector<std::string> { "10.0.0.2", "10.0.0.3" }));
    EXPECT_FALSE(finder.onHint("10.0.0.9", {}).has_value());
    const auto start = finder.onHint("10.0.0.2", {});
    ASSERT_TRUE(start.has_value());
    EXPECT_TRUE(start->found);
    EXPECT_EQ(start->slot, founderSlot);
}

// Guards against a second group after the first seed has lost its disk.
TEST(SlotFinder, neverFoundsWhenAGroupIsKnown)
{
    SlotFinder finder("10.0.0.1", seeds, true);
    GroupHint known;
    known.groupExists = true;
    known.members = { { 4, "10.0.0.7" } };
    EXPECT_FALSE(finder.onHint("10.0.0.2", known).has_value());
    EXPECT_FALSE(finder.onHint("10.0.0.3", {}).has_value());
    EXPECT_EQ(finder.targets().back(), "10.0.0.7");
}

TEST(SlotFinder, neverFoundsWithoutBootstrap)
{
    SlotFinder finder("10.0.0.1", seeds, false);
    EXPECT_FALSE(finder.onHint("10.0.0.2", {}).has_value());
    EXPECT_FALSE(finder.onHint("10.0.0.3", {}).has_value());
}

TEST(SlotFinder, takesTheSlotThatTheLeaderGives)
{
    SlotFinder finder("10.0.0.5", seeds, false);
    GroupHint hint;
    hint.groupExists = true;
    hint.leaderIp = "10.0.0.3";
    EXPECT_FALSE(finder.onHint("10.0.0.2", hint).has_value());
    EXPECT_EQ(finder.targets().front(), "10.0.0.3");
    hint.slot = 5;
    const auto start = finder.onHint("10.0.0.3", hint);
    ASSERT_TRUE(start.has_value());
    EXPECT_FALSE(start->found);
    EXPECT_EQ(start->slot, 5U);
}
