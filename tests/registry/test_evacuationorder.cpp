#include "registrygroup.h"

#include "version/routingchange.h"

using namespace cassiaroad;

namespace {

/** A control group that gets orders of an operator. */
class EvacuationOrderTest : public RegistryGroupTest
{
protected:
    static bool isAcknowledged(const EvacuationResult &result)
    {
        return std::holds_alternative<std::monostate>(result);
    }

    std::optional<EvacuationResult> order(RegistryEngine &leader, const EvacuationChange &change)
    {
        std::optional<EvacuationResult> result;
        leader.orderEvacuation(change, [&](const EvacuationResult &value) { result = value; });
        EXPECT_TRUE(waitUntil(this->loop, [&] { return result.has_value(); }));
        return result;
    }

    static void registerUpstream(RegistryEngine &leader, const std::string &zone)
    {
        UpstreamReport heartbeat;
        heartbeat.incarnation = { "i-1", 1 };
        heartbeat.service = "ledger";
        heartbeat.zone = zone;
        heartbeat.sequence = 1;
        leader.handleHeartbeat(heartbeat, [](const HeartbeatResult &) {});
    }
};

} // namespace

// Guards against orders without an effect: an unknown zone is refused with a reason, and orders for
// a known one are acknowledged each time.
TEST_F(EvacuationOrderTest, refusesUnknownZonesOnly)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    const auto unknown = this->order(*leader, { "b", true });
    ASSERT_TRUE(unknown && std::holds_alternative<UnknownZone>(*unknown));
    EXPECT_NE(std::get<UnknownZone>(*unknown).reason.find("\"b\""), std::string::npos);
    registerUpstream(*leader, "b");
    runFor(this->loop, { 300 });
    for (const bool started : { true, true, false, false, true }) {
        const auto result = this->order(*leader, { "b", started });
        EXPECT_TRUE(result && isAcknowledged(*result)) << started;
    }
}

// Guards against gateways that learn of an evacuation with their next report only.
TEST_F(EvacuationOrderTest, tellsWaitingGatewaysAtOnce)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    registerUpstream(*leader, "b");
    runFor(this->loop, { 300 });
    std::optional<GatewayUpdate> update;
    GatewayReport report;
    report.gateway = "front-1";
    const auto watch = [&] {
        update.reset();
        return leader->watch(report)
                .then([&](const GatewayWatchReply &reply) {
                    update = std::get<GatewayUpdate>(reply);
                })
                .eagerlyEvaluate(nullptr);
    };
    const kj::Promise<void> first = watch();
    ASSERT_TRUE(waitUntil(this->loop, [&] { return update.has_value(); }));
    report.tableTag = update->tableTag;
    const kj::Promise<void> waiting = watch();
    const auto result = this->order(*leader, { "b", true });
    ASSERT_TRUE(result && isAcknowledged(*result));
    ASSERT_TRUE(waitUntil(this->loop, [&] { return update.has_value(); }, { 200 }));
    ASSERT_TRUE(update->change.has_value());
    const auto change = decodeRoutingChange(*update->change);
    ASSERT_TRUE(change.has_value());
    EXPECT_EQ(change->evacuatedZones, std::set<std::string> { "b" });
}

// Guards against an order that is acknowledged by a host that may have lost its leadership.
TEST_F(EvacuationOrderTest, refusesOrdersWithoutAMajority)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    registerUpstream(*leader, "b");
    runFor(this->loop, { 300 });
    std::erase_if(this->hosts, [&](const auto &host) { return &host->engine != leader; });
    const auto result = this->order(*leader, { "b", true });
    EXPECT_TRUE(result && !isAcknowledged(*result));
}
