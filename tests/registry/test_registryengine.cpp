#include "registrygroup.h"

#include <thread>

using namespace cassiaroad;

namespace {

// Longer than the lease of a leader, shorter than the time after which it gives up its leadership.
constexpr std::chrono::milliseconds blockedTime { 450 };

using RegistryEngineTest = RegistryGroupTest;

} // namespace

// Guards against a busy leader that turns away the calls of gateways and upstreams as if it were
// not the leader, because it has not read the replies yet that renew its lease. They came back
// through the other hosts and kept it busy.
TEST_F(RegistryEngineTest, answersCallsOnceItsLeaseIsRenewed)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    runFor(this->loop, { 200 });
    std::this_thread::sleep_for(blockedTime);
    ASSERT_TRUE(leader->member().isLeader());
    ASSERT_FALSE(leader->member().hasLease());

    std::optional<GatewayWatchReply> reply;
    GatewayReport report;
    report.gateway = "front-1";
    const kj::Promise<void> watch
            = leader->watch(report)
                      .then([&](const GatewayWatchReply &value) { reply = value; })
                      .eagerlyEvaluate(nullptr);
    std::optional<HeartbeatResult> response;
    UpstreamReport heartbeat;
    heartbeat.incarnation = { "i-1", 1 };
    heartbeat.sequence = 1;
    leader->handleHeartbeat(heartbeat, [&](const HeartbeatResult &value) { response = value; });
    ASSERT_TRUE(waitUntil(this->loop, [&] { return reply && response; }));
    EXPECT_TRUE(std::holds_alternative<GatewayUpdate>(*reply));
    EXPECT_TRUE(std::holds_alternative<HeartbeatResponse>(*response));
}

// Guards against a leader that lets a gateway which searches for it wait for a change, or that
// counts its question as a report without load.
TEST_F(RegistryEngineTest, answersASearchAtOnceAndCountsNothingOfIt)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    std::optional<GatewayUpdate> update;
    const auto watch = [&](const GatewayReport &sent) {
        update.reset();
        return leader->watch(sent)
                .then([&](const GatewayWatchReply &reply) {
                    update = std::get<GatewayUpdate>(reply);
                })
                .eagerlyEvaluate(nullptr);
    };
    GatewayReport report;
    report.gateway = "front-1";
    const kj::Promise<void> first = watch(report);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return update.has_value(); }));
    EXPECT_EQ(update->gateways, 1U);
    GatewayReport search;
    search.gateway = "front-2";
    search.tableTag = update->tableTag;
    search.version = update->version;
    search.isSearch = true;
    const kj::Promise<void> searching = watch(search);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return update.has_value(); }, { 100 }));
    EXPECT_FALSE(update->change.has_value());
    EXPECT_FALSE(update->document.has_value());
    const kj::Promise<void> second = watch(report);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return update.has_value(); }));
    EXPECT_EQ(update->gateways, 1U);
}

// Guards against gateways that learn late, with their next report, of a request under which
// upstreams have crashed at other gateways.
TEST_F(RegistryEngineTest, tellsWaitingGatewaysOfRequestsThatCrashUpstreams)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    std::optional<GatewayUpdate> update;
    GatewayReport report;
    report.gateway = "front-1";
    const auto watch = [&](const GatewayReport &sent) {
        update.reset();
        return leader->watch(sent)
                .then([&](const GatewayWatchReply &reply) {
                    update = std::get<GatewayUpdate>(reply);
                })
                .eagerlyEvaluate(nullptr);
    };
    const kj::Promise<void> first = watch(report);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return update.has_value(); }));
    report.tableTag = update->tableTag;
    const kj::Promise<void> waiting = watch(report);

    GatewayReport other;
    other.gateway = "front-2";
    other.tableTag = report.tableTag;
    other.broken = { { 5, 1, {} }, { 5, 2, {} } };
    const kj::Promise<void> reporting
            = leader->watch(other).ignoreResult().eagerlyEvaluate(nullptr);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return update.has_value(); }, { 200 }));
    ASSERT_TRUE(update->suspects.has_value());
    ASSERT_EQ(update->suspects->size(), 1U);
    EXPECT_EQ(update->suspects->front().attempts.size(), 2U);
}

// Guards against calls that wait for a lease that nobody can confirm: callers have to be sent to
// another host while they still wait for a response.
TEST_F(RegistryEngineTest, refusesCallsWhenItsLeaseIsNotRenewed)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    std::erase_if(this->hosts, [&](const auto &host) { return &host->engine != leader; });
    ASSERT_TRUE(waitUntil(this->loop, [&] { return !leader->member().hasLease(); }));
    std::optional<ReadResult> result;
    const TimePoint start = this->loop.now();
    leader->read([&](const ReadResult &value) { result = value; });
    ASSERT_TRUE(waitUntil(this->loop, [&] { return result.has_value(); }));
    EXPECT_TRUE(std::holds_alternative<NotLeading>(*result));
    constexpr Milliseconds callersPatience { 1000 };
    EXPECT_LT(this->loop.now() - start, callersPatience);
}

// Guards against gateways that do not learn who has replaced a member, and against a list of
// members in each update.
TEST_F(RegistryEngineTest, sendsTheMembersToGatewaysThatHaveAnotherList)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    std::optional<GatewayUpdate> update;
    GatewayReport report;
    report.gateway = "front-1";
    report.membersRevision = 0;
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
    ASSERT_TRUE(update->members.has_value());
    EXPECT_EQ(update->members->ips, leader->member().hint().members);
    report.membersRevision = update->members->revision;
    report.tableTag = update->tableTag;
    const AssignSlot replacement { 3, "127.0.0.9", update->members->ips.at(3) };
    const kj::Promise<void> waiting = watch();
    leader->member().propose(0, encodeCommand(replacement));
    ASSERT_TRUE(waitUntil(this->loop, [&] { return update.has_value(); }, { 300 }));
    ASSERT_TRUE(update->members.has_value());
    EXPECT_EQ(update->members->ips.at(3), "127.0.0.9");
    report.membersRevision = update->members->revision;
    const kj::Promise<void> last = watch();
    ASSERT_TRUE(waitUntil(this->loop, [&] { return update.has_value(); }));
    EXPECT_FALSE(update->members.has_value());
}
