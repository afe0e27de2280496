#include "registry/slotfinder.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const std::vector<std::string> seeds { "10.0.0.1", "10.0.0.2", "10.0.0.3" };

} // namespace

// Guards against a first seed that bootstraps a group before another seed reports that there is
// none.
TEST(SlotFinder, bootstrapsOnlyWhenAnotherSeedKnowsNoGroup)
{
    SlotFinder finder("10.0.0.1", seeds, true);
    EXPECT_EQ(finder.targets(), (std::vector<std::string> { "10.0.0.2", "10.0.0.3" }));
    EXPECT_FALSE(finder.onHint("10.0.0.9", {}).has_value());
    const auto start = finder.onHint("10.0.0.2", {});
    ASSERT_TRUE(start.has_value());
    EXPECT_TRUE(start->bootstrap);
    EXPECT_EQ(start->slot, bootstrapSlot);
}

// Guards against a second group that the first seed bootstraps after it has lost its disk.
TEST(SlotFinder, neverBootstrapsWhenAGroupIsKnown)
{
    SlotFinder finder("10.0.0.1", seeds, true);
    GroupHint known;
    known.groupExists = true;
    known.members = { { 4, "10.0.0.7" } };
    EXPECT_FALSE(finder.onHint("10.0.0.2", known).has_value());
    EXPECT_FALSE(finder.onHint("10.0.0.3", {}).has_value());
    EXPECT_EQ(finder.targets().back(), "10.0.0.7");
}

TEST(SlotFinder, neverBootstrapsUnlessAllowed)
{
    SlotFinder finder("10.0.0.1", seeds, false);
    EXPECT_FALSE(finder.onHint("10.0.0.2", {}).has_value());
    EXPECT_FALSE(finder.onHint("10.0.0.3", {}).has_value());
}

TEST(SlotFinder, usesTheSlotThatTheLeaderAssigns)
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
    EXPECT_FALSE(start->bootstrap);
    EXPECT_EQ(start->slot, 5U);
}
