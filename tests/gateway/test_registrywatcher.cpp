#include "gateway/registrywatcher.h"

#include "connection/rpcserver.h"
#include "schema/cassiaroad.capnp.h"
#include "support/fulllistener.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

/** A control host that gives the reply which the test has set. */
class ScriptedHost final : public rpc::Registry::Server
{
public:
    explicit ScriptedHost(const GatewayWatchReply &reply)
        : reply(reply)
    { }

    kj::Promise<void> watch(WatchContext context) override
    {
        const std::string bytes = encode(this->reply);
        context.getResults().setAnswer(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        return kj::READY_NOW;
    }

private:
    const GatewayWatchReply &reply;
};

/** A control host that replies until the test silences it; its connections stay open. */
class SilencedHost final : public rpc::Registry::Server
{
public:
    SilencedHost(EventLoop &loop, const bool &silent)
        : loop(loop)
        , silent(silent)
    { }

    kj::Promise<void> watch(WatchContext context) override
    {
        constexpr Milliseconds never { 60000 };
        const std::string bytes = encode(GatewayWatchReply(GatewayUpdate {}));
        return rpcDelay(this->loop, this->silent ? never : Milliseconds { 1 })
                .then([context, bytes]() mutable {
                    context.getResults().setAnswer(kj::arrayPtr(
                            reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
                });
    }

private:
    EventLoop &loop;
    const bool &silent;
};

/** A control host whose replies take a while to arrive, as on a full link. */
class SlowHost final : public rpc::Registry::Server
{
public:
    SlowHost(EventLoop &loop, Milliseconds delay, GatewayWatchReply reply)
        : loop(loop)
        , delay(delay)
        , reply(encode(reply))
    { }

    kj::Promise<void> watch(WatchContext context) override
    {
        return rpcDelay(this->loop, this->delay).then([context, reply = this->reply]() mutable {
            context.getResults().setAnswer(
                    kj::arrayPtr(reinterpret_cast<const kj::byte *>(reply.data()), reply.size()));
        });
    }

private:
    EventLoop &loop;
    Milliseconds delay;
    std::string reply;
};

/** A watcher that has started, and the number of updates that it has received. */
class CountingWatcher
{
public:
    CountingWatcher(EventLoop &loop, const std::vector<HostAddress> &seeds)
        : settings(settingsWithSeeds(seeds))
        , log("front-1")
        , watcher(loop, this->settings, this->log,
                  { [] { return GatewayReport(); },
                    [this](const GatewayUpdate &, TimePoint) { ++this->updates; } })
    {
        this->watcher.start();
    }

    int updates = 0;

private:
    static SiteSettings settingsWithSeeds(const std::vector<HostAddress> &seeds)
    {
        SiteSettings settings;
        settings.internalPort = seeds.front().port;
        settings.seeds = seeds;
        return settings;
    }

    SiteSettings settings;
    EventLog log;
    RegistryWatcher watcher;
};

} // namespace

// Guards against a gateway that gives up each watch call just before its reply arrives over a full
// link: it then routed by an old configuration for seconds.
TEST(RegistryWatcher, getsUpdatesThatTakeLongerThanTheUsualTimeout)
{
    EventLoop loop;
    constexpr Milliseconds replyDelay { 1400 };
    constexpr Milliseconds maxWait { 2500 + 1100 }; // the bound of a change, after one timeout
    RpcServer server(loop, {}, kj::heap<SlowHost>(loop, replyDelay, GatewayUpdate {}));
    ASSERT_EQ(server.listen({ "127.0.0.1", 0 }), "");
    const CountingWatcher watcher(loop, { { "127.0.0.1", server.port() } });
    EXPECT_TRUE(waitUntil(
            loop, [&] { return watcher.updates > 0; }, maxWait));
}

// Guards against a gateway that never reaches a distant leader, because the quick replies of a
// nearby host, which only name the leader, reset its timeouts each time.
TEST(RegistryWatcher, keepsItsLongerTimeoutsWhenAnotherHostNamesTheLeader)
{
    EventLoop loop;
    constexpr Milliseconds leaderDelay { 1400 };
    constexpr Milliseconds maxWait { 4500 };
    GroupHint hint;
    hint.groupExists = true;
    hint.leaderIp = "127.0.0.2";
    hint.members = { { 1, "127.0.0.1" }, { 2, "127.0.0.2" } };
    RpcServer nearby(loop, {}, kj::heap<SlowHost>(loop, Milliseconds { 1 }, hint));
    ASSERT_EQ(nearby.listen({ "127.0.0.1", 0 }), "");
    RpcServer leader(loop, {}, kj::heap<SlowHost>(loop, leaderDelay, GatewayUpdate {}));
    ASSERT_EQ(leader.listen({ "127.0.0.2", nearby.port() }), "");
    const CountingWatcher watcher(loop, { { "127.0.0.1", nearby.port() } });
    EXPECT_TRUE(waitUntil(
            loop, [&] { return watcher.updates > 0; }, maxWait));
}

// Guards against a gateway that searches for the next leader at one host after the other, while
// most of them cannot be reached: it then routed by an old configuration for seconds.
TEST(RegistryWatcher, findsTheNextLeaderThoughOtherHostsDoNotAnswer)
{
    EventLoop loop;
    constexpr Milliseconds maxSearch { 700 };
    RpcServer next(loop, {}, kj::heap<SlowHost>(loop, Milliseconds { 1 }, GatewayUpdate {}));
    ASSERT_EQ(next.listen({ "127.0.0.5", 0 }), "");
    const std::uint16_t port = next.port();
    auto former = std::make_unique<RpcServer>(
            loop, RpcServerLimits {},
            kj::heap<SlowHost>(loop, Milliseconds { 1 }, GatewayUpdate {}));
    ASSERT_EQ(former->listen({ "127.0.0.1", port }), "");
    const FullListener second({ "127.0.0.2", port });
    const FullListener third({ "127.0.0.3", port });
    const FullListener fourth({ "127.0.0.4", port });
    std::vector<HostAddress> seeds;
    for (int i = 1; i <= 5; ++i) {
        seeds.push_back({ "127.0.0." + std::to_string(i), port });
    }
    CountingWatcher watcher(loop, seeds);
    ASSERT_TRUE(waitUntil(loop, [&] { return watcher.updates > 0; }));
    former.reset();
    runFor(loop, { 20 });
    watcher.updates = 0;
    EXPECT_TRUE(waitUntil(
            loop, [&] { return watcher.updates > 0; }, maxSearch));
}

// Guards against a gateway that calls only the hosts to which a connection is open: a former leader
// that is cut off from its group but not from the gateway answers each call and knows no leader.
TEST(RegistryWatcher, leavesAFormerLeaderThatKnowsNoOther)
{
    EventLoop loop;
    constexpr Milliseconds maxSearch { 700 };
    GatewayWatchReply reply = GatewayUpdate {};
    RpcServer former(loop, {}, kj::heap<ScriptedHost>(reply));
    ASSERT_EQ(former.listen({ "127.0.0.1", 0 }), "");
    GroupHint hint;
    hint.groupExists = true;
    const GatewayWatchReply nextReply = GatewayUpdate {};
    RpcServer next(loop, {}, kj::heap<ScriptedHost>(nextReply));
    ASSERT_EQ(next.listen({ "127.0.0.2", former.port() }), "");
    CountingWatcher watcher(loop,
                            { { "127.0.0.1", former.port() }, { "127.0.0.2", former.port() } });
    ASSERT_TRUE(waitUntil(loop, [&] { return watcher.updates > 0; }));
    reply = hint;
    runFor(loop, { 50 });
    watcher.updates = 0;
    EXPECT_TRUE(waitUntil(
            loop, [&] { return watcher.updates > 0; }, maxSearch));
}

// Guards against a search that calls a host again which has just left a call without a reply, only
// because a connection to it opens: it takes the long timeout once more before the others are
// called (hunt b4a71950, day hunt-b4a7-3).
TEST(RegistryWatcher, callsAHostThatHasJustTimedOutAfterTheOthers)
{
    constexpr int hostCount = 4;
    // The call to the former leader times out after 1.1 s. The next leader takes connections when
    // the others have been called.
    constexpr Milliseconds electionDuration { 1900 };
    constexpr Milliseconds maxSearch { 700 };
    for (int first = 1; first <= hostCount; ++first) {
        EventLoop loop;
        bool silent = false;
        const bool neverSilent = false;
        RpcServer former(loop, {}, kj::heap<SilencedHost>(loop, silent));
        ASSERT_EQ(former.listen({ "127.0.0.1", 0 }), "");
        const std::uint16_t port = former.port();
        const FullListener second({ "127.0.0.2", port });
        const FullListener third({ "127.0.0.3", port });
        RpcServer next(loop, {}, kj::heap<SilencedHost>(loop, neverSilent));
        std::vector<HostAddress> seeds;
        for (int i = 0; i < hostCount; ++i) {
            seeds.push_back({ "127.0.0." + std::to_string((first + i) % hostCount + 1), port });
        }
        CountingWatcher watcher(loop, seeds);
        ASSERT_TRUE(waitUntil(loop, [&] { return watcher.updates > 0; }));
        silent = true;
        runFor(loop, electionDuration);
        ASSERT_EQ(next.listen({ "127.0.0.4", port }), "");
        watcher.updates = 0;
        EXPECT_TRUE(waitUntil(
                loop, [&] { return watcher.updates > 0; }, maxSearch))
                << first;
    }
}
