/**
 * Cost of decisions when a tenth of a large site's upstreams leaves at once. A leader on a slow
 * host that spends too long on them loses its lease and tells the gateways nothing meanwhile.
 */
#include "processortime.h"

#include "version/registrymanager.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr int upstreamCount = 400;
constexpr int rangesPerUpstream = 4;
constexpr TimePoint start { 1000000 };
const std::string service = "ledger";

UpstreamReport reportOf(int number, std::uint64_t sequence)
{
    UpstreamReport report;
    report.incarnation = { "upstream-" + std::to_string(number), 1 };
    report.service = service;
    report.address = { "10.0.0." + std::to_string(number), 80 };
    report.slots = 6;
    report.sequence = sequence;
    return report;
}

// Returns one transfer for each range of the site, in which neighbouring ranges have other owners.
std::vector<RangeTransfer> transfersOfAllKeys(int shift)
{
    constexpr KeyNumber count = upstreamCount * rangesPerUpstream;
    std::vector<RangeTransfer> transfers;
    for (KeyNumber i = 0; i < count; ++i) {
        const KeyRange range { i * keyCount / count, (i + 1) * keyCount / count - 1 };
        const int owner = static_cast<int>(i + static_cast<KeyNumber>(shift)) % upstreamCount;
        transfers.push_back({ range, reportOf(owner, 0).incarnation, "handover of a range" });
    }
    return transfers;
}

/** A leader whose upstreams all have leases on their ranges. */
class LargeSite
{
public:
    LargeSite()
        : manager(this->state, {})
    {
        auto configuration = std::make_shared<SiteConfiguration>();
        configuration->version = 1;
        configuration->services[service].keyed = true;
        this->manager.setConfiguration(configuration);
        this->state.apply(TransferRanges { service, transfersOfAllKeys(0) });
        this->manager.startTerm(start);
        for (int i = 0; i < upstreamCount; ++i) {
            this->sendHeartbeat(reportOf(i, 1));
        }
    }

    void sendHeartbeat(const UpstreamReport &report)
    {
        for (const RegistryCommand &command : this->manager.onHeartbeat(report, start).commands) {
            this->state.apply(command);
        }
        this->manager.respond(report, start);
    }

    void announceLeaving(int count)
    {
        for (int i = 0; i < count; ++i) {
            UpstreamReport report = reportOf(i, 2);
            report.draining = true;
            this->sendHeartbeat(report);
        }
    }

    RoutingTable table() const { return this->manager.routingTable(start); }
    std::int64_t tableTime() const
    {
        return leastProcessorTime([this] { this->table(); });
    }

private:
    RegistryState state;
    RegistryManager manager;
};

} // namespace

// Guards against a routing table whose cost is the product of all ranges and the moving ones: the
// gateways heard of a configuration seconds after it was acknowledged.
TEST(MassLeave, buildsTheRoutingTableInAboutTheUsualTime)
{
    LargeSite site;
    const std::int64_t usual = site.tableTime();
    site.announceLeaving(upstreamCount / 5);
    const RoutingTable table = site.table();
    const auto releasing = std::count_if(
            table.ranges.at(service).begin(), table.ranges.at(service).end(),
            [](const RoutedRange &range) { return range.phase == RangePhase::Releasing; });
    ASSERT_GE(releasing, upstreamCount / 5 * rangesPerUpstream);
    constexpr std::int64_t maxFactor = 3; // the table itself is hardly larger
    EXPECT_LT(site.tableTime(), usual * maxFactor);
}

// Guards against a commit of many transfers that copies the table for each of them: it blocked the
// leader and all followers for longer than a leader's lease.
TEST(MassLeave, appliesATransferOfManyRangesInOnePass)
{
    const std::vector<RangeTransfer> all = transfersOfAllKeys(1);
    std::vector<RangeTransfer> many;
    for (std::size_t i = 0; i < all.size(); i += 4) {
        many.push_back(all[i]);
    }
    RangeTable table;
    table.transfer(transfersOfAllKeys(0));
    const std::int64_t one = leastProcessorTime([&] { table.transfer({ many.front() }); });
    const std::int64_t batch = leastProcessorTime([&] { table.transfer(many); });
    constexpr std::int64_t maxFactor = 20; // of 400 transfers in place of one
    EXPECT_LT(batch, one * maxFactor);
}
