#include "registry/registryengine.h"

#include "connection/rpcserver.h"
#include "registry/registryservice.h"
#include "support/fakecodec.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <thread>

#include <stdlib.h>

using namespace cassiaroad;

namespace {

constexpr std::size_t hostCount = 3;
// Longer than the lease of a leader, shorter than the time after which it gives up its leadership.
constexpr std::chrono::milliseconds blockedTime { 450 };

/** One control host, at the address 127.0.0.NUMBER. */
struct TestHost
{
    TestHost(EventLoop &loop, SiteSettings hostSettings, const ExternalCodec &codec)
        : settings(std::move(hostSettings))
        , log(settings.host)
        , engine(loop, settings, codec, metrics, log, [](const std::string &) {})
        , server(loop, {}, kj::heap<RegistryService>(loop, engine))
    { }

    SiteSettings settings;
    EventLog log;
    Metrics metrics;
    RegistryEngine engine;
    RpcServer server;
};

/** A control group of three hosts in one event loop. */
class RegistryEngineTest : public testing::Test
{
protected:
    RegistryEngineTest()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "registry-XXXXXX").string();
        this->root = ::mkdtemp(pattern.data());
        for (std::size_t i = 0; i < hostCount; ++i) {
            auto host = std::make_unique<TestHost>(this->loop, this->settingsOf(i), this->codec);
            const std::string reason
                    = host->server.listen({ host->settings.ip, host->settings.internalPort });
            EXPECT_EQ(reason, "");
            this->port = host->server.port(); // the first host takes any free port
            host->settings.internalPort = this->port;
            this->hosts.push_back(std::move(host));
        }
        for (const auto &host : this->hosts) {
            EXPECT_EQ(host->engine.start(), "");
        }
    }

    ~RegistryEngineTest() override
    {
        this->hosts.clear();
        std::filesystem::remove_all(this->root);
    }

    SiteSettings settingsOf(std::size_t index) const
    {
        SiteSettings settings;
        settings.host = "core-" + std::to_string(index + 1);
        settings.ip = ipOf(index);
        settings.bindIp = settings.ip;
        settings.internalPort = this->port;
        for (std::size_t i = 0; i < hostCount; ++i) {
            settings.seeds.push_back({ ipOf(i), this->port });
        }
        RegistrySettings role;
        role.dataFolder = this->root + "/" + settings.host;
        role.bootstrap = true;
        settings.role = role;
        return settings;
    }

    static std::string ipOf(std::size_t index) { return "127.0.0." + std::to_string(index + 1); }

    /** Returns the host that leads with a lease once all hosts may vote, or null. */
    RegistryEngine *waitForLeader()
    {
        RegistryEngine *leader = nullptr;
        waitUntil(this->loop, [&] {
            for (const auto &host : this->hosts) {
                GroupMember &member = host->engine.member();
                const bool leads = member.isLeader() && member.hasLease();
                const bool isComplete
                        = member.hint().members.size() == hostCount && member.hasEnoughVoters();
                leader = leads && isComplete ? &host->engine : leader;
            }
            return leader != nullptr;
        });
        return leader;
    }

    EventLoop loop;
    FakeCodec codec;
    std::string root;
    std::uint16_t port = 0;
    std::vector<std::unique_ptr<TestHost>> hosts;
};

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
