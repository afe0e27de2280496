#include "version/rangeplanner.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace cassiaroad;

namespace {

const TimePoint start { 1000000 };

UpstreamIncarnation incarnation(int number)
{
    return { "i-" + std::to_string(number), number };
}

PlacementCandidate candidate(int number, double milliseconds = 100.0)
{
    return { incarnation(number), 6, milliseconds, { 500 }, true };
}

/** Three upstreams that own a third of the keys each. */
class ThreeUpstreams : public testing::Test
{
protected:
    ThreeUpstreams()
    {
        this->table.transfer(RangePlanner::firstAssignment(this->placementCandidates));
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
        return RangePlanner({ this->table, this->load, this->placementCandidates })
                .relieve(incarnation(number));
    }

    std::vector<PlacementCandidate> placementCandidates { candidate(1), candidate(2),
                                                          candidate(3) };
    RangeTable table;
    KeyLoad load;
};

} // namespace

// Load: few requests for each upstream, as on sites with hundreds of upstreams. Guards against
// moves because of chance differences: 13 requests against a mean of 10 are chance, 1,300 against
// 1,000 are not.
TEST_F(ThreeUpstreams, keepKeysDespiteChanceDifferences)
{
    this->placementCandidates = { candidate(1, 500.0), candidate(2, 500.0), candidate(3, 500.0) };
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

// Load: even. Guards against moves that cost warm caches without a benefit.
TEST_F(ThreeUpstreams, keepKeysUnderAnEvenLoad)
{
    for (KeyNumber key = 0; key <= lastKey; key += 64) {
        this->load.add(key, 1, start);
    }
    EXPECT_FALSE(this->relieve(1).has_value());
}

// Load: 200 neighbouring keys get most requests (an event, the peak of a district). Guards against
// one upstream that refuses requests while others are idle.
TEST_F(ThreeUpstreams, splitABusyNeighbourhood)
{
    this->request(1000, 1199, 2);
    const auto transfer = this->relieve(1);
    ASSERT_TRUE(transfer.has_value());
    EXPECT_NE(transfer->to, incarnation(1));
    EXPECT_LT(transfer->range.size(), 200U);
    EXPECT_GT(this->load.rate(transfer->range), 0.2 * this->load.total());
    EXPECT_LT(this->load.rate(transfer->range), 0.6 * this->load.total());
}

// Load: one key alone has more requests than an upstream can serve. Guards against leaving its
// neighbours on the overloaded upstream because the key itself cannot be moved with benefit.
TEST_F(ThreeUpstreams, moveTheNeighboursOfAKeyThatIsTooBusy)
{
    this->load.add(1000, 600, start);
    this->request(1100, 1199, 1);
    const auto transfer = this->relieve(1);
    ASSERT_TRUE(transfer.has_value());
    EXPECT_FALSE(transfer->range.contains(KeyNumber(1000)));
    EXPECT_GT(this->load.rate(transfer->range), 0.0);
}

// Load: one key alone has more requests than a slow upstream can serve. Guards against leaving it
// there while an upstream that is twice as fast has spare capacity.
TEST_F(ThreeUpstreams, moveAHotKeyToAFasterUpstream)
{
    this->placementCandidates = { candidate(1, 250.0), candidate(2, 200.0), candidate(3, 100.0) };
    this->load.add(1000, 600, start);
    this->request(1100, 1199, 1);
    const auto transfer = this->relieve(1);
    ASSERT_TRUE(transfer.has_value());
    EXPECT_EQ(transfer->range, (KeyRange { 1000, 1000 }));
    EXPECT_EQ(transfer->to, incarnation(3));
}

// Upstreams join. Guards against new upstreams that stay without keys, and thus without requests.
TEST_F(ThreeUpstreams, giveKeysToANewUpstream)
{
    this->placementCandidates.push_back(candidate(4));
    for (KeyNumber key = 0; key <= lastKey; key += 64) {
        this->load.add(key, 1, start);
    }
    std::size_t offers = 0;
    for (const int number : { 1, 2, 3 }) {
        const auto transfer = this->relieve(number);
        offers += transfer && transfer->to == incarnation(4) ? 1 : 0;
    }
    EXPECT_GE(offers, 1U);
}

// An upstream leaves. Guards against keys without a new owner, and against assigning all of them to
// one upstream.
TEST_F(ThreeUpstreams, shareTheKeysOfAnUpstreamThatLeaves)
{
    this->placementCandidates[0].canReceiveKeys = false;
    this->request(0, 999, 1);
    const KeyRange leaving = this->table.owners().front().range;
    RangePlanner planner({ this->table, this->load, this->placementCandidates });
    const std::vector<RangeTransfer> transfers = planner.replaceOwner({ leaving });
    std::uint32_t keys = 0;
    bool toSecond = false;
    bool toThird = false;
    for (const RangeTransfer &transfer : transfers) {
        keys += transfer.range.size();
        toSecond = toSecond || transfer.to == incarnation(2);
        toThird = toThird || transfer.to == incarnation(3);
    }
    EXPECT_EQ(keys, leaving.size());
    EXPECT_TRUE(toSecond);
    EXPECT_TRUE(toThird);
}

// Upstreams of different speed. Guards against comparing requests instead of utilization.
TEST_F(ThreeUpstreams, preferTheFasterTarget)
{
    this->placementCandidates = { candidate(1), candidate(2, 200.0), candidate(3, 50.0) };
    this->request(1000, 1199, 2);
    this->request(30000, 30099, 1);
    this->request(60000, 60099, 1);
    const auto transfer = this->relieve(1);
    ASSERT_TRUE(transfer.has_value());
    EXPECT_EQ(transfer->to, incarnation(3));
}

// Guards against keys without an owner and wrong shares at the first assignment.
TEST(RangePlanner, splitsAllKeysBySlotsAtFirst)
{
    std::vector<PlacementCandidate> placementCandidates { candidate(1), candidate(2),
                                                          candidate(3) };
    placementCandidates[1].slots = 12;
    placementCandidates[2].canReceiveKeys = false;
    const std::vector<RangeTransfer> transfers = RangePlanner::firstAssignment(placementCandidates);
    ASSERT_EQ(transfers.size(), 2U);
    EXPECT_EQ(transfers[0].range, (KeyRange { 0, 21844 }));
    EXPECT_EQ(transfers[1].range, (KeyRange { 21845, lastKey }));
}
