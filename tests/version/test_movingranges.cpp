#include "version/movingranges.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace cassiaroad;

namespace {

constexpr KeyNumber testKeys = 60;

/** Returns the keys of @p ranges. */
std::set<KeyNumber> keysOf(const std::vector<KeyRange> &ranges)
{
    std::set<KeyNumber> keys;
    for (const KeyRange &range : ranges) {
        for (KeyNumber key = range.from; key <= range.to; ++key) {
            keys.insert(key);
        }
    }
    return keys;
}

} // namespace

// Guards against keys of a moving range that count as retained, and so would be leased to their
// former owner, and against retained keys that are left out.
RC_GTEST_PROP(MovingRanges, retainsExactlyTheKeysThatDoNotMove, ())
{
    MovingRanges moving;
    std::set<KeyNumber> movingKeys;
    const auto count = *rc::gen::inRange(0, 10);
    for (int i = 0; i < count; ++i) {
        const auto from = *rc::gen::inRange<KeyNumber>(0, testKeys);
        const auto to = *rc::gen::inRange<KeyNumber>(from, testKeys + 1);
        if (moving.overlaps({ from, to })) {
            continue;
        }
        moving.add({ { from, to }, { "a", 1 }, { "b", 1 } });
        movingKeys.merge(keysOf({ { from, to } }));
    }
    const auto from = *rc::gen::inRange<KeyNumber>(0, testKeys);
    const auto to = *rc::gen::inRange<KeyNumber>(from, testKeys + 1);
    const std::set<KeyNumber> retained = keysOf(moving.retainedParts({ from, to }));
    std::vector<KeyRange> within;
    for (const MovingRange &range : moving.within({ from, to })) {
        within.push_back(range.range);
    }
    const std::set<KeyNumber> overlapping = keysOf(within);
    for (KeyNumber key = from; key <= to; ++key) {
        RC_ASSERT(retained.contains(key) != movingKeys.contains(key));
        RC_ASSERT(overlapping.contains(key) == movingKeys.contains(key));
    }
    const bool isWithin
            = retained.empty() || (*retained.begin() >= from && *retained.rbegin() <= to);
    RC_ASSERT(isWithin);
}

// Guards against a range that is still to be released and is dropped with the proposed ones.
TEST(MovingRanges, removesOnlyProposedTransfers)
{
    MovingRanges moving;
    moving.add({ { 0, 9 }, { "a", 1 }, { "b", 1 } });
    moving.add({ { 10, 19 }, { "c", 1 }, { "b", 1 }, true });
    EXPECT_TRUE(moving.hasProposed());
    EXPECT_FALSE(moving.isReleasingFrom({ "c", 1 }));
    moving.removeProposed();
    EXPECT_FALSE(moving.hasProposed());
    EXPECT_TRUE(moving.isReleasingFrom({ "a", 1 }));
    EXPECT_FALSE(moving.overlaps({ 10, 19 }));
}
