#include "gateway/registrywatcher.h"

#include "connection/rpcserver.h"
#include "schema/cassiaroad.capnp.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

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

SiteSettings settingsWithSeeds(const std::vector<HostAddress> &seeds)
{
    SiteSettings settings;
    settings.internalPort = seeds.front().port;
    settings.seeds = seeds;
    return settings;
}

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
    const SiteSettings settings = settingsWithSeeds({ { "127.0.0.1", server.port() } });
    EventLog log("front-1");
    bool updated = false;
    RegistryWatcher watcher(loop, settings, log,
                            { [] { return GatewayReport(); },
                              [&](const GatewayUpdate &, TimePoint) { updated = true; } });
    watcher.start();
    EXPECT_TRUE(waitUntil(
            loop, [&] { return updated; }, maxWait));
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
    const SiteSettings settings = settingsWithSeeds({ { "127.0.0.1", nearby.port() } });
    EventLog log("front-1");
    bool updated = false;
    RegistryWatcher watcher(loop, settings, log,
                            { [] { return GatewayReport(); },
                              [&](const GatewayUpdate &, TimePoint) { updated = true; } });
    watcher.start();
    EXPECT_TRUE(waitUntil(
            loop, [&] { return updated; }, maxWait));
}
