#include "gateway/registrywatcher.h"

#include "connection/rpcserver.h"
#include "schema/cassiaroad.capnp.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

/** A leader whose replies take a while to arrive, as on a full link. */
class SlowLeader final : public rpc::Registry::Server
{
public:
    SlowLeader(EventLoop &loop, Milliseconds delay)
        : loop(loop)
        , delay(delay)
    { }

    kj::Promise<void> watch(WatchContext context) override
    {
        return rpcDelay(this->loop, this->delay).then([context]() mutable {
            const std::string reply = encode(GatewayWatchReply(GatewayUpdate {}));
            context.getResults().setAnswer(
                    kj::arrayPtr(reinterpret_cast<const kj::byte *>(reply.data()), reply.size()));
        });
    }

private:
    EventLoop &loop;
    Milliseconds delay;
};

} // namespace

// Guards against a gateway that gives up each watch call just before its reply arrives over a full
// link: it then routed by an old configuration for seconds.
TEST(RegistryWatcher, getsUpdatesThatTakeLongerThanTheUsualTimeout)
{
    EventLoop loop;
    constexpr Milliseconds replyDelay { 1400 };
    constexpr Milliseconds maxWait { 2500 + 1100 }; // the bound of a change, after one timeout
    RpcServer server(loop, {}, kj::heap<SlowLeader>(loop, replyDelay));
    ASSERT_EQ(server.listen({ "127.0.0.1", 0 }), "");
    SiteSettings settings;
    settings.internalPort = server.port();
    settings.seeds = { { "127.0.0.1", server.port() } };
    EventLog log("front-1");
    bool updated = false;
    RegistryWatcher watcher(loop, settings, log,
                            { [] { return GatewayReport(); },
                              [&](const GatewayUpdate &, TimePoint) { updated = true; } });
    watcher.start();
    EXPECT_TRUE(waitUntil(loop, [&] { return updated; }, maxWait));
}
