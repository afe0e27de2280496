#include "version/rangeplanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace cassiaroad;

namespace {

const TimePoint start { 1000000 };
constexpr int upstreamCount = 6;

UpstreamIncarnation incarnation(int number)
{
    return { "i-" + std::to_string(number), number };
}

std::vector<PlacementCandidate> upstreams()
{
    std::vector<PlacementCandidate> result;
    for (int number = 1; number <= upstreamCount; ++number) {
        result.push_back({ incarnation(number), 6, 100.0, { 500 }, true });
    }
    return result;
}

std::size_t rangesOf(const RangeTable &table, const UpstreamIncarnation &owner)
{
    return static_cast<std::size_t>(
            std::count_if(table.owners().begin(), table.owners().end(),
                          [&](const RangeOwner &entry) { return entry.owner == owner; }));
}

// A service whose busy keys change all the time, so that upstreams split their ranges again and
// again.
class ChangingLoad
{
public:
    ChangingLoad()
    {
        this->table.transfer(RangePlanner::firstAssignment(upstreams()));
        this->load.decay(this->now);
    }

    /** Makes other keys busy, and applies what the planner makes of that. */
    void change(KeyNumber busyFrom, KeyNumber busyCount)
    {
        this->now = this->now + Milliseconds { 2000 };
        this->load.decay(this->now);
        for (KeyNumber key = busyFrom; key <= std::min(busyFrom + busyCount, lastKey); ++key) {
            this->load.add(key, 400 / (busyCount + 1) + 1, this->now);
        }
        const std::vector<PlacementCandidate> candidates = upstreams();
        for (const PlacementCandidate &candidate : candidates) {
            RangePlanner planner({ this->table, this->load, candidates });
            if (const auto transfer = planner.relieve(candidate.incarnation)) {
                this->table.transfer({ *transfer });
                ++this->moves;
            }
        }
    }

    /** The largest number of ranges of one upstream. */
    std::size_t mostRanges() const
    {
        std::size_t most = 0;
        for (int number = 1; number <= upstreamCount; ++number) {
            most = std::max(most, rangesOf(this->table, incarnation(number)));
        }
        return most;
    }

    int moveCount() const { return this->moves; }

private:
    TimePoint now = start;
    RangeTable table;
    KeyLoad load;
    int moves = 0;
};

} // namespace

// Guards against a target that collects the ranges that others split off, until the response to its
// heartbeat is too long and it is left without keys.
TEST(RangeBounds, holdForSourcesAndTargetsAfterThousandsOfSplits)
{
    ChangingLoad site;
    std::uint32_t random = 20261204;
    for (int i = 0; i < 5000; ++i) {
        random = random * 1664525 + 1013904223;
        site.change(random >> 16, (random >> 4) % 300);
        ASSERT_LE(site.mostRanges(), RangePlanner::maxRangesPerOwner) << "change " << i;
    }
    EXPECT_GT(site.moveCount(), 50);
}

// Guards against ranges of an upstream that leaves which are split although all others have as many
// ranges as a response can contain: they go undivided to those with the fewest.
TEST(RangeBounds, keepRangesWholeIfNoUpstreamHasRoom)
{
    RangeTable table;
    std::vector<RangeTransfer> transfers;
    for (int i = 0; i < 25 * 3; ++i) {
        const auto from = static_cast<KeyNumber>(i) * 800;
        transfers.push_back({ { from, from + 799 }, incarnation(1 + i % 3), {} });
    }
    table.transfer(transfers);
    KeyLoad load;
    load.decay(start);
    for (KeyNumber key = 0; key < 800; ++key) {
        load.add(key, 100, start);
    }
    std::vector<PlacementCandidate> candidates = upstreams();
    candidates.resize(3);
    candidates.front().canReceiveKeys = false;
    std::vector<KeyRange> ranges;
    for (const RangeOwner &entry : table.owners()) {
        if (entry.owner == incarnation(1)) {
            ranges.push_back(entry.range);
        }
    }
    RangePlanner planner({ table, load, candidates });
    const std::vector<RangeTransfer> replaced = planner.replaceOwner(ranges);
    EXPECT_EQ(replaced.size(), ranges.size());
    table.transfer(replaced);
    EXPECT_LE(rangesOf(table, incarnation(2)), 25U + 13U);
    EXPECT_LE(rangesOf(table, incarnation(3)), 25U + 13U);
}
