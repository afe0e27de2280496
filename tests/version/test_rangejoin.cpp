#include "leasesimulation.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr int upstreamCount = 3;
constexpr KeyNumber rangeSize = 16; // 4096 ranges

UpstreamReport report(int number, std::uint64_t sequence)
{
    UpstreamReport result;
    result.incarnation = { "i-" + std::to_string(number), number };
    result.service = simulatedService;
    result.address = { "10.0.0." + std::to_string(number), 80 };
    result.zone = "a";
    result.sequence = sequence;
    return result;
}

/** A site whose first upstream owns all keys in thousands of ranges, and then crashes. */
class SplitSite
{
public:
    SplitSite()
        : manager(state, simulatedTiming())
    {
        this->manager.setConfiguration(
                simulatedConfiguration(simulatedService, LeaseDelivery::Heartbeat));
        this->manager.startTerm({ this->now });
        TransferRanges split { simulatedService, {} };
        for (KeyNumber from = 0; from < keyCount; from += rangeSize) {
            split.transfers.push_back(
                    { { from, from + rangeSize - 1 }, report(1, 1).incarnation, {} });
        }
        this->state.apply(split);
        this->heartbeat(1);
    }

    /** Lets @p seconds pass with heartbeats of all upstreams but the first. */
    void run(int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            this->now += simulatedHeartbeatInterval;
            for (int number = 2; number <= upstreamCount; ++number) {
                this->heartbeat(number);
            }
            this->apply(this->manager.dueCommands({ this->now }));
        }
    }

    const std::vector<RangeOwner> &owners() const
    {
        return this->state.ranges().at(simulatedService).owners();
    }

    RoutingTable routingTable() const { return this->manager.routingTable({ this->now }); }

private:
    void heartbeat(int number)
    {
        const UpstreamReport sent = report(number, ++this->sequence);
        this->apply(this->manager.onHeartbeat(sent, { this->now }).commands);
        this->manager.respond(sent, { this->now });
    }

    void apply(const std::vector<RegistryCommand> &commands)
    {
        for (const RegistryCommand &command : commands) {
            this->checkRouting();
            this->state.apply(command);
            this->manager.onCommandEnded(command);
        }
    }

    // Each key is in one range of the routing table, also while a transfer is being committed.
    void checkRouting() const
    {
        if (!this->state.ranges().contains(simulatedService)) {
            return;
        }
        KeyNumber next = 0;
        const RoutingTable table = this->routingTable();
        for (const RoutedRange &routed : table.ranges.at(simulatedService)) {
            ASSERT_EQ(routed.range.from, next);
            next = routed.range.to + 1;
        }
        ASSERT_EQ(next, keyCount);
    }

    std::int64_t now = 1000000;
    std::uint64_t sequence = 0;
    RegistryState state;
    RegistryManager manager;
};

} // namespace

// Guards against ranges that are split and never joined: the upstreams that get the keys of a
// crashed one must not get all of its thousands of ranges one by one.
TEST(RangeJoin, joinsTheRangesOfACrashedUpstream)
{
    SplitSite site;
    ASSERT_EQ(site.owners().size(), std::size_t(keyCount / rangeSize));
    site.run(8);
    EXPECT_LE(site.owners().size(), 4U);
    for (const RangeOwner &entry : site.owners()) {
        EXPECT_NE(entry.owner.id, "i-1");
    }
}
