#include "registry/slotfinder.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const std::vector<std::string> seeds { "10.0.0.1", "10.0.0.2", "10.0.0.3" };
constexpr TimePoint start { 5000 };
constexpr TimePoint later { 7000 }; // when callers are asked too

} // namespace

// Guards against a first seed that bootstraps a group before another seed reports that there is
// none.
TEST(SlotFinder, bootstrapsOnlyWhenAnotherSeedKnowsNoGroup)
{
    SlotFinder finder("10.0.0.1", seeds, true, start);
    EXPECT_EQ(finder.targets(start), (std::vector<std::string> { "10.0.0.2", "10.0.0.3" }));
    EXPECT_FALSE(finder.onHint("10.0.0.9", {}).has_value());
    const auto found = finder.onHint("10.0.0.2", {});
    ASSERT_TRUE(found.has_value());
    EXPECT_TRUE(found->bootstrap);
    EXPECT_EQ(found->slot, bootstrapSlot);
}

// Guards against a second group that the first seed bootstraps after it has lost its disk.
TEST(SlotFinder, neverBootstrapsWhenAGroupIsKnown)
{
    SlotFinder finder("10.0.0.1", seeds, true, start);
    GroupHint known;
    known.groupExists = true;
    known.members = { { 4, "10.0.0.7" } };
    EXPECT_FALSE(finder.onHint("10.0.0.2", known).has_value());
    EXPECT_FALSE(finder.onHint("10.0.0.3", {}).has_value());
    EXPECT_EQ(finder.targets(start).back(), "10.0.0.7");
}

TEST(SlotFinder, neverBootstrapsUnlessAllowed)
{
    SlotFinder finder("10.0.0.1", seeds, false, start);
    EXPECT_FALSE(finder.onHint("10.0.0.2", {}).has_value());
    EXPECT_FALSE(finder.onHint("10.0.0.3", {}).has_value());
}

TEST(SlotFinder, usesTheSlotThatTheLeaderAssigns)
{
    SlotFinder finder("10.0.0.5", seeds, false, start);
    GroupHint hint;
    hint.groupExists = true;
    hint.leaderIp = "10.0.0.3";
    EXPECT_FALSE(finder.onHint("10.0.0.2", hint).has_value());
    EXPECT_EQ(finder.targets(start).front(), "10.0.0.3");
    hint.slot = 5;
    const auto found = finder.onHint("10.0.0.3", hint);
    ASSERT_TRUE(found.has_value());
    EXPECT_FALSE(found->bootstrap);
    EXPECT_EQ(found->slot, 5U);
}

// Guards against a host that has lost its data and searches for ever, since the hosts of its
// settings are gone and it does not ask the member that calls it.
TEST(SlotFinder, asksAMemberThatCallsIt)
{
    SlotFinder finder("10.0.0.6", seeds, false, start);
    EXPECT_TRUE(finder.onCall("10.0.0.8"));
    EXPECT_FALSE(finder.onCall("10.0.0.8"));
    EXPECT_EQ(finder.targets(later).back(), "10.0.0.8");
    GroupHint hint;
    hint.groupExists = true;
    EXPECT_FALSE(finder.onHint("10.0.0.8", hint).has_value()); // its group gives no slot
    hint.slot = 3;
    const auto found = finder.onHint("10.0.0.8", hint);
    ASSERT_TRUE(found.has_value());
    EXPECT_EQ(found->slot, 3U);
}

// Guards against a host that joins a group of another site, which has a slot for its address, while
// its own seeds answer.
TEST(SlotFinder, asksItsSeedsBeforeCallers)
{
    SlotFinder finder("10.0.0.6", seeds, false, start);
    finder.onCall("10.9.0.1");
    EXPECT_EQ(finder.targets(later - Milliseconds { 1 }), seeds);
}

// Guards against a first seed that bootstraps a second group although a member has called it.
TEST(SlotFinder, neverBootstrapsAfterACall)
{
    SlotFinder finder("10.0.0.1", seeds, true, start);
    finder.onCall("10.0.0.8");
    EXPECT_FALSE(finder.onHint("10.0.0.2", {}).has_value());
    SlotFinder single("10.0.0.1", { "10.0.0.1" }, true, start);
    single.onCall("10.0.0.8");
    EXPECT_FALSE(single.onHint("10.0.0.8", {}).has_value());
}

// Guards against addresses that pile up while hosts of other groups call.
TEST(SlotFinder, remembersABoundedNumberOfCallers)
{
    SlotFinder finder("10.0.0.6", seeds, false, start);
    for (int i = 0; i < 100; ++i) {
        finder.onCall("10.1.0." + std::to_string(i));
    }
    EXPECT_EQ(finder.targets(later).size(), seeds.size() + 16);
    EXPECT_EQ(finder.targets(later).back(), "10.1.0.99");
}
