#include "leasesimulation.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const std::string service = "ledger";
const std::string plainService = "store";

/** A leader with two owners of keys and a service without keys. */
class AdmittedSharesTest : public testing::Test
{
protected:
    AdmittedSharesTest()
        : manager(state, simulatedTiming())
    {
        auto configuration = std::make_shared<SiteConfiguration>();
        configuration->services[service].keyed = true;
        configuration->services[plainService];
        this->manager.setConfiguration(configuration);
        this->manager.startTerm(this->now);
        for (const char *id : { "i-1", "i-2" }) {
            this->state.apply(RegisterSiteUpstream {
                    { { id, 50 }, service, { "10.0.0.1", 80 }, "a", 6, UpstreamPhase::Ready } });
        }
        this->state.apply(TransferRanges {
                service,
                { { { 0, 99 }, { "i-1", 50 }, "" }, { { 100, lastKey }, { "i-2", 50 }, "" } } });
    }

    UpstreamReport reportOf(const char *id, const std::string &ofService)
    {
        UpstreamReport report;
        report.incarnation = { id, 50 };
        report.service = ofService;
        report.address = { ofService == service ? "10.0.0.1" : "10.0.0.2", 80 };
        report.zone = "a";
        report.slots = 6;
        report.sequence = ++this->sequence;
        return report;
    }

    /** Reports of gateways without requests, so that the site is no small one. */
    void reportFromOthers()
    {
        for (std::size_t i = 0; i < gatewaysWithFullKnowledge; ++i) {
            GatewayReport report;
            report.gateway = "front-of-others-" + std::to_string(i);
            this->manager.onGatewayReport(report, this->now);
        }
    }

    std::optional<std::uint16_t> shareOf(std::size_t index) const
    {
        return this->manager.routingTable(this->now).upstreams.at(index).admitted;
    }

    RegistryState state;
    RegistryManager manager;
    TimePoint now { 100000 };
    std::uint64_t sequence = 0;
};

} // namespace

// Guards against upstreams without keys that gateways flood on their return, since the routing
// table does not tell them.
TEST_F(AdmittedSharesTest, holdBackAnUpstreamThatRegisters)
{
    for (const char *id : { "j-1", "j-2", "j-3" }) {
        this->state.apply(RegisterSiteUpstream {
                { { id, 50 }, plainService, { "10.0.0.2", 80 }, "a", 6, UpstreamPhase::Ready } });
    }
    this->manager.dueCommands(this->now);
    EXPECT_EQ(this->shareOf(2), std::nullopt);
    this->now = this->now + Milliseconds { 10000 };
    this->reportFromOthers();
    this->manager.onGatewayReport({ "front-1" }, this->now);
    for (const char *id : { "j-1", "j-2", "j-3" }) {
        this->manager.onHeartbeat(this->reportOf(id, plainService), this->now);
    }
    this->manager.dueCommands(this->now);
    UpstreamReport report = this->reportOf("j-4", plainService);
    report.address.port = 81;
    for (const auto &command : this->manager.onHeartbeat(report, this->now).commands) {
        this->state.apply(command);
    }
    this->now = this->now + Milliseconds { 500 };
    this->manager.dueCommands(this->now);
    EXPECT_EQ(this->shareOf(4), std::nullopt);
    EXPECT_EQ(this->shareOf(5), 125);
}
