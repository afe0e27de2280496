#include "version/rangetable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

UpstreamIncarnation incarnation(int number)
{
    return { "i-" + std::to_string(number), number };
}

} // namespace

// Guards against keys that have no owner, two owners or an old fencing token after transfers of
// overlapping ranges in any order.
RC_GTEST_PROP(RangeTable, keepsOneOwnerForEachKeyAndRaisesTheFence, ())
{
    RangeTable table;
    table.transfer({ { { 0, lastKey }, incarnation(0), {} } });
    const auto count = *rc::gen::inRange(1, 30);
    for (int i = 1; i <= count; ++i) {
        const auto from = *rc::gen::inRange<KeyNumber>(0, lastKey);
        const auto to = *rc::gen::inRange<KeyNumber>(from, lastKey);
        const FencingToken before = table.lastFence();
        table.transfer({ { { from, to }, incarnation(i), "h" } });
        RC_ASSERT(table.find(from)->owner == incarnation(i));
        RC_ASSERT(table.find(to)->fence > before);
    }
    KeyNumber next = 0;
    for (const RangeOwner &entry : table.owners()) {
        RC_ASSERT(entry.range.from == next);
        RC_ASSERT(entry.range.to >= entry.range.from);
        next = entry.range.to + 1;
    }
    RC_ASSERT(next == keyCount);
}

// Guards against a batch of transfers with another result than the same transfers one by one, with
// ranges that overlap each other, entries of the table or gaps between them.
RC_GTEST_PROP(RangeTable, assignsABatchLikeSingleTransfers, ())
{
    RangeTable batched;
    RangeTable single;
    const auto batches = *rc::gen::inRange(1, 8);
    int number = 0;
    for (int batch = 0; batch < batches; ++batch) {
        std::vector<RangeTransfer> transfers;
        const auto count = *rc::gen::inRange(1, 12);
        const auto maxSize = *rc::gen::element<KeyNumber>(8, 40);
        for (int i = 0; i < count; ++i) {
            const auto from = *rc::gen::inRange<KeyNumber>(0, 200);
            const auto size = *rc::gen::inRange<KeyNumber>(1, maxSize);
            transfers.push_back({ { from, from + size - 1 }, incarnation(++number), "h" });
            single.transfer({ transfers.back() });
        }
        batched.transfer(transfers);
        RC_ASSERT(batched == single);
    }
}

// Guards against a lookup of a key without an owner that returns the neighbouring range.
TEST(RangeTable, findsNothingInAGap)
{
    const RangeTable table({ { { 10, 20 }, incarnation(1), 1, {} } }, 1);
    EXPECT_EQ(table.find(9), nullptr);
    EXPECT_EQ(table.find(21), nullptr);
    ASSERT_NE(table.find(20), nullptr);
}
