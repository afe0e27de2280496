#include "version/rangeplanner.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace cassiaroad;

namespace {

const TimePoint start { 1000000 };

UpstreamIncarnation life(int number)
{
    return { "i-" + std::to_string(number), number };
}

RangeHolder holder(int number, double milliseconds = 100.0)
{
    return { life(number), 6, milliseconds, { 500 }, true };
}

/** Three upstreams that hold a third of the keys each. */
class ThreeHolders : public testing::Test
{
protected:
    ThreeHolders()
    {
        this->table.transfer(RangePlanner::firstAssignment(this->holders));
        this->load.decay(start);
    }

    void request(KeyNumber from, KeyNumber to, std::uint32_t count)
    {
        for (KeyNumber key = from; key <= to; ++key) {
            this->load.add(key, count, start);
        }
    }

    std::optional<RangeTransfer> relieve(int number)
    {
        return RangePlanner({ this->table, this->load, this->holders }).relieve(life(number));
    }

    std::vector<RangeHolder> holders { holder(1), holder(2), holder(3) };
    RangeTable table;
    KeyLoad load;
};

} // namespace

// Load: few requests for each upstream, as on sites with hundreds of them. Guards against moves
// because of chance differences: 13 requests where 10 are usual say little, 1,300 of 1,000 do.
TEST_F(ThreeHolders, leaveChanceDifferencesAlone)
{
    this->holders = { holder(1, 500.0), holder(2, 500.0), holder(3, 500.0) };
    const auto requestAll = [&](std::uint32_t each) {
        for (std::uint32_t i = 0; i < 13; ++i) {
            this->load.add(100 * i, each, start);
        }
        for (std::uint32_t i = 0; i < 8; ++i) {
            this->load.add(30000 + 100 * i, each, start);
            this->load.add(50000 + 100 * i, each, start);
        }
    };
    requestAll(1);
    EXPECT_FALSE(this->relieve(1).has_value());
    requestAll(99);
    EXPECT_TRUE(this->relieve(1).has_value());
}

// Load: even. Guards against moves that cost warm caches and bring nothing.
TEST_F(ThreeHolders, leaveAnEvenLoadAlone)
{
    for (KeyNumber key = 0; key <= lastKey; key += 64) {
        this->load.add(key, 1, start);
    }
    EXPECT_FALSE(this->relieve(1).has_value());
}

// Load: 200 neighbouring keys get most requests (an event, a district's peak). Guards against one
// upstream that refuses while others idle.
TEST_F(ThreeHolders, splitABusyNeighbourhood)
{
    this->request(1000, 1199, 2);
    const auto transfer = this->relieve(1);
    ASSERT_TRUE(transfer.has_value());
    EXPECT_NE(transfer->to, life(1));
    EXPECT_LT(transfer->range.size(), 200U);
    EXPECT_GT(this->load.rate(transfer->range), 0.2 * this->load.total());
    EXPECT_LT(this->load.rate(transfer->range), 0.6 * this->load.total());
}

// Load: one key alone is more than an upstream can serve. Guards against leaving its neighbours on
// the full upstream because the key itself is too heavy to move.
TEST_F(ThreeHolders, moveTheNeighboursOfAKeyThatIsTooBusy)
{
    this->load.add(1000, 600, start);
    this->request(1100, 1199, 1);
    const auto transfer = this->relieve(1);
    ASSERT_TRUE(transfer.has_value());
    EXPECT_FALSE(transfer->range.contains(KeyNumber(1000)));
    EXPECT_GT(this->load.rate(transfer->range), 0.0);
}

// Load: one key alone is more than a slow upstream can serve. Guards against leaving it there while
// an upstream that is twice as fast has room.
TEST_F(ThreeHolders, moveAHotKeyToAFasterUpstream)
{
    this->holders = { holder(1, 250.0), holder(2, 200.0), holder(3, 100.0) };
    this->load.add(1000, 600, start);
    this->request(1100, 1199, 1);
    const auto transfer = this->relieve(1);
    ASSERT_TRUE(transfer.has_value());
    EXPECT_EQ(transfer->range, (KeyRange { 1000, 1000 }));
    EXPECT_EQ(transfer->to, life(3));
}

// Pattern: servers join. Guards against upstreams that stay without keys, and thus without work.
TEST_F(ThreeHolders, giveKeysToANewcomer)
{
    this->holders.push_back(holder(4));
    for (KeyNumber key = 0; key <= lastKey; key += 64) {
        this->load.add(key, 1, start);
    }
    std::size_t offers = 0;
    for (const int number : { 1, 2, 3 }) {
        const auto transfer = this->relieve(number);
        offers += transfer && transfer->to == life(4) ? 1 : 0;
    }
    EXPECT_GE(offers, 1U);
}

// Pattern: a server leaves. Guards against keys without a receiver and against giving all of them
// to one upstream.
TEST_F(ThreeHolders, shareTheKeysOfAHolderThatLeaves)
{
    this->holders[0].receives = false;
    this->request(0, 999, 1);
    const KeyRange leaving = this->table.owners().front().range;
    RangePlanner planner({ this->table, this->load, this->holders });
    const std::vector<RangeTransfer> transfers = planner.replaceHolder({ leaving });
    std::uint32_t keys = 0;
    bool toSecond = false;
    bool toThird = false;
    for (const RangeTransfer &transfer : transfers) {
        keys += transfer.range.size();
        toSecond = toSecond || transfer.to == life(2);
        toThird = toThird || transfer.to == life(3);
    }
    EXPECT_EQ(keys, leaving.size());
    EXPECT_TRUE(toSecond);
    EXPECT_TRUE(toThird);
}

// Pattern: upstreams of different speed. Guards against counting requests instead of busy slots.
TEST_F(ThreeHolders, preferTheFasterReceiver)
{
    this->holders = { holder(1), holder(2, 200.0), holder(3, 50.0) };
    this->request(1000, 1199, 2);
    this->request(30000, 30099, 1);
    this->request(60000, 60099, 1);
    const auto transfer = this->relieve(1);
    ASSERT_TRUE(transfer.has_value());
    EXPECT_EQ(transfer->to, life(3));
}

// Guards against nobody or a wrong share at the first assignment.
TEST(RangePlanner, splitsAllKeysBySlotsAtFirst)
{
    std::vector<RangeHolder> holders { holder(1), holder(2), holder(3) };
    holders[1].slots = 12;
    holders[2].receives = false;
    const std::vector<RangeTransfer> transfers = RangePlanner::firstAssignment(holders);
    ASSERT_EQ(transfers.size(), 2U);
    EXPECT_EQ(transfers[0].range, (KeyRange { 0, 21844 }));
    EXPECT_EQ(transfers[1].range, (KeyRange { 21845, lastKey }));
}
