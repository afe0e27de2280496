#include "connection/rpccodec.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against a field that is lost between a control member and an entry host.
TEST(RpcCodec, keepsEveryFieldOfADelta)
{
    RouteDelta delta;
    delta.fromRevision = 3;
    delta.toRevision = 9;
    delta.upstreams.push_back(
            { { "orders", "o1" }, "etela-a", "127.0.0.1:9000", 6, 120, true, "i1", true });
    delta.removedUpstreams.push_back({ "orders", "o2" });
    delta.shards.push_back(
            { { "orders", 7 }, { RouteState::Releasing, "o1", 4, MoveReason::Loss } });
    delta.keys.push_back({ { "orders", "hot" }, { RouteState::Owned, "o1", 2 } });
    delta.removedKeys.push_back({ "orders", "cold" });
    delta.settings["limits.queue-length"] = "32";

    capnp::MallocMessageBuilder message;
    const auto builder = message.initRoot<rpc::RouteDelta>();
    encode(delta, builder);
    EXPECT_EQ(decode(builder.asReader()), delta);
}
