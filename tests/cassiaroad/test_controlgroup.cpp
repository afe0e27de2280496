#include "cassiaroad/controlgroup.h"

#include "cassiaroad/operatorclient.h"
#include "connection/controlclient.h"
#include "connection/rpccodec.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

// Keys are served again within 2 s of the loss of a member.
constexpr Milliseconds failoverTimeout { 2000 };
constexpr Milliseconds repairTimeout { 10000 };
constexpr Milliseconds callTimeout { 4000 };

/**
 * A fake entry host: makes watch calls on request and stores the route table and lease it
 * receives.
 */
class FakeEntryHost
{
public:
    FakeEntryHost(EventLoop &loop, const ControlGroup &group)
        : loop(loop)
        , client(loop, group.rpcAddresses())
    { }

    /**
     * Announces an upstream and watches until the table has @p shards owned shards or @p timeout
     * passes.
     */
    bool receivesShards(std::size_t shards, Milliseconds timeout)
    {
        const TimePoint end = this->loop.now() + timeout;
        while (this->loop.now() < end) {
            this->announce();
            this->watch();
            if (this->table->shardRoutes().size() >= shards) {
                return true;
            }
        }
        return false;
    }

    void watch()
    {
        const auto response = this->loop.wait(this->client.watch(
                [this](rpc::WatchRequest::Builder request) {
                    request.setEntryHost("entry-1");
                    request.setZone("etela-a");
                    request.setInstance(1);
                    request.setSeenRevision(this->table->revision());
                    request.setDrainedRevision(this->table->revision());
                },
                callTimeout));
        const auto update = response.getReply().getUpdate();
        this->leaseMs = update.getLeaseMs();
        const auto next = this->table->apply(decode(update.getDelta()));
        if (next) {
            this->table = next;
        }
    }

    void announce()
    {
        this->loop.wait(this->client.announce(
                [](rpc::AnnounceRequest::Builder request) {
                    encode(Upstream { { "orders", "orders-1" },
                                      "etela-a",
                                      "127.0.0.1:9001",
                                      6,
                                      120,
                                      true,
                                      "i1" },
                           request.initUpstream());
                },
                callTimeout));
    }

    EventLoop &loop;
    ControlClient client;
    std::shared_ptr<const RouteTable> table = std::make_shared<RouteTable>();
    std::uint32_t leaseMs = 0;
};

nlohmann::json sendRequest(EventLoop &loop, const ControlGroup &group, const std::string &path,
                           const nlohmann::json &body)
{
    OperatorClient client(loop, group.operatorAddresses(), "secret", { 10000 });
    const OperatorResult result = client.request(body.is_null() ? "GET" : "POST", path, body);
    const auto *answer = std::get_if<OperatorResponse>(&result);
    return answer == nullptr ? nlohmann::json(std::get<OperatorFailure>(result).reason)
                             : answer->body;
}

} // namespace

// Guards against a group that forms but does not serve entry hosts and upstreams.
TEST(ControlGroup, electsALeaderAndAssignsShards)
{
    EventLoop loop;
    ControlGroup group(loop);
    ASSERT_TRUE(group.bootstrapGroup());
    FakeEntryHost entry(loop, group);
    EXPECT_TRUE(entry.receivesShards(32, { 6000 })); // the group's half of 64 shards
    EXPECT_EQ(entry.leaseMs, 800U);
}

// Guards against state that is lost with the leader, and against a slow election (P2).
TEST(ControlGroup, keepsAcknowledgedStateWhenTheLeaderIsKilled)
{
    EventLoop loop;
    ControlGroup group(loop);
    ASSERT_TRUE(group.bootstrapGroup());
    FakeEntryHost entry(loop, group);
    ASSERT_TRUE(entry.receivesShards(32, { 6000 }));
    const Revision before = entry.table->revision();
    const std::uint32_t killed = group.leader();
    group.kill(killed);
    ASSERT_TRUE(group.waitFor([&] { return group.leader() != 0; }, failoverTimeout));
    EXPECT_NE(group.leader(), killed);
    EXPECT_GE(group.engine(group.leader()).state().revision(), before);
    entry.watch();
    EXPECT_GE(entry.table->revision(), before);
}

// Guards against a repaired member that has stored less than it acknowledged: the group must
// survive the loss of a second member right after the repair (P2).
TEST(ControlGroup, survivesASecondLossAfterARepair)
{
    EventLoop loop;
    ControlGroup group(loop);
    ASSERT_TRUE(group.bootstrapGroup());
    FakeEntryHost entry(loop, group);
    ASSERT_TRUE(entry.receivesShards(32, { 6000 }));
    const Revision before = entry.table->revision();
    const std::uint32_t lost = group.leader() % 3 + 1;
    group.kill(lost);
    group.loseFolder(lost);
    ASSERT_EQ(group.start(lost), "");
    const auto repaired = [&] {
        const std::uint32_t leader = group.leader();
        if (leader == 0) {
            return false;
        }
        const auto &voters = group.engine(leader).replica().replica()->configuration().voters;
        const MemberId id = group.engine(lost).replica().replica()->id();
        return std::find(voters.begin(), voters.end(), id) != voters.end() && voters.size() == 3;
    };
    ASSERT_TRUE(group.waitFor(repaired, repairTimeout));
    group.kill(group.leader());
    ASSERT_TRUE(group.waitFor([&] { return group.leader() != 0; }, failoverTimeout));
    EXPECT_GE(group.engine(group.leader()).state().revision(), before);
}

// Guards against a confirmation that takes effect twice after a restart or a leader change, and
// against one that is answered before it is in force (P8).
TEST(ControlGroup, answersARepeatedConfirmationWithTheFirstResult)
{
    EventLoop loop;
    ControlGroup group(loop);
    ASSERT_TRUE(group.bootstrapGroup());
    FakeEntryHost entry(loop, group);
    entry.watch();
    const auto plan = sendRequest(loop, group, "/v1/intent",
                                  { { "who", "aino" },
                                    { "why", "long queues" },
                                    { "intent", { "set", "limits.queue-length", "64" } } });
    ASSERT_TRUE(plan.contains("plan")) << plan;
    const nlohmann::json confirm = { { "who", "aino" }, { "number", 1 }, { "plan", plan["plan"] } };
    const auto first = sendRequest(loop, group, "/v1/confirm", confirm);
    EXPECT_EQ(first.value("status", ""), "accepted") << first;
    for (std::uint32_t number = 1; number <= 3; ++number) {
        group.kill(number);
    }
    for (std::uint32_t number = 1; number <= 3; ++number) {
        ASSERT_EQ(group.start(number), "");
    }
    ASSERT_TRUE(group.waitFor([&] { return group.leader() != 0; }, failoverTimeout));
    const auto second = sendRequest(loop, group, "/v1/confirm", confirm);
    EXPECT_EQ(first, second);
    const auto status = sendRequest(loop, group, "/v1/status", nullptr);
    EXPECT_EQ(status["overrides"]["limits.queue-length"], "64");
    const auto record = sendRequest(loop, group, "/v1/record", { { "who", "aino" } });
    EXPECT_EQ(record["record"].size(), 1U) << record;
}

// Guards against a planned stop that leaves the group without a leader for an election timeout.
TEST(ControlGroup, transfersLeadershipWhenTheLeaderStops)
{
    EventLoop loop;
    ControlGroup group(loop);
    ASSERT_TRUE(group.bootstrapGroup());
    const std::uint32_t stopped = group.leader();
    group.stop(stopped);
    EXPECT_TRUE(group.waitFor([&] { return group.leader() != 0 && group.leader() != stopped; },
                              { 300 })); // the minimum election timeout
    EXPECT_TRUE(group.waitFor([&] { return !group.isRunning(stopped); }, { 2000 }));
}

// Guards against a second group with the same name that lacks what the first one acknowledged.
TEST(ControlGroup, refusesToBootstrapWithAUsedDataFolder)
{
    EventLoop loop;
    ControlGroup group(loop);
    ASSERT_EQ(group.start(1, true), "");
    group.kill(1);
    EXPECT_NE(group.start(1, true), "");
    EXPECT_EQ(group.start(1, false), "");
}

// Guards against an operator interface that serves clients without a valid token, or that a
// follower serves.
TEST(ControlGroup, requiresTheTokenAndRedirectsToTheLeader)
{
    EventLoop loop;
    ControlGroup group(loop);
    ASSERT_TRUE(group.bootstrapGroup());
    OperatorClient unauthorizedClient(loop, group.operatorAddresses(), "wrong", { 2000 });
    const OperatorResult refused = unauthorizedClient.request("GET", "/v1/status", nullptr);
    ASSERT_TRUE(std::holds_alternative<OperatorResponse>(refused));
    EXPECT_EQ(std::get<OperatorResponse>(refused).status, 401);
    const std::uint32_t follower = group.leader() % 3 + 1;
    OperatorClient client(loop, { group.operatorAddresses()[follower - 1] }, "secret", { 2000 });
    const OperatorResult followed = client.request("GET", "/v1/status", nullptr);
    ASSERT_TRUE(std::holds_alternative<OperatorResponse>(followed));
    EXPECT_EQ(std::get<OperatorResponse>(followed).body["member"], group.leader());
}
