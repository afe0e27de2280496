#include "connection/replicalink.h"

#include "connection/fakemember.h"
#include "connection/rpcdelay.h"
#include "connection/silentpeer.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

/** Runs the loop until @p condition holds, for at most 5 s. */
bool waitFor(EventLoop &loop, const std::function<bool()> &condition)
{
    const TimePoint end = loop.now() + Milliseconds { 5000 };
    while (!condition() && loop.now() < end) {
        loop.wait(rpcDelay(loop, { 5 }));
    }
    return condition();
}

/** A member whose replies take a while to arrive, as on a full link. */
class SlowMember final : public rpc::Member::Server
{
public:
    struct Replies
    {
        int count = 0; // sent on connections that were still open
    };

    SlowMember(EventLoop &loop, Milliseconds delay, Replies &replies)
        : loop(loop)
        , delay(delay)
        , replies(replies)
    { }

    kj::Promise<void> deliver(DeliverContext context) override
    {
        context.allowCancellation();
        return rpcDelay(this->loop, this->delay).then([this] { ++this->replies.count; });
    }

private:
    EventLoop &loop;
    Milliseconds delay;
    Replies &replies;
};

} // namespace

// Guards against messages that are lost or reordered on a working connection.
TEST(ReplicaLink, deliversInOrder)
{
    EventLoop loop;
    ListeningMember peer(loop);
    ReplicaLink link(loop, "etela", 1, { { 2, peer.address() } });
    EXPECT_TRUE(link.send(2, "a"));
    EXPECT_TRUE(link.send(2, std::string(100000, 'b')));
    EXPECT_TRUE(link.send(2, "c"));
    ASSERT_TRUE(waitFor(loop, [&] { return peer.behaviour.delivered.size() == 3; }));
    EXPECT_EQ(peer.behaviour.delivered[0], "a");
    EXPECT_EQ(peer.behaviour.delivered[2], "c");
    EXPECT_GT(link.bytes().sent, 100000U);
    EXPECT_TRUE(waitFor(loop, [&] {
        const ByteCounters &here = link.bytes();
        const ByteCounters &there = peer.server.bytes();
        return here.received > 100 && here.received == there.sent && here.sent == there.received;
    }));
    EXPECT_FALSE(link.send(3, "no such member"));
}

// Guards against unbounded memory use while a member does not reply.
TEST(ReplicaLink, dropsMessagesAboveItsLimits)
{
    EventLoop loop;
    SilentPeer peer;
    ReplicaLink link(loop, "etela", 1, { { 2, { "127.0.0.1", peer.port() } } });
    int accepted = 0;
    for (int i = 0; i < 100; ++i) {
        accepted += link.send(2, std::string(1024 * 1024, 'x')) ? 1 : 0;
    }
    EXPECT_LE(accepted, 8);
    EXPECT_EQ(link.droppedCount(), static_cast<std::uint64_t>(100 - accepted));
}

// Guards against a member that stays unreachable because of one silent connection.
TEST(ReplicaLink, replacesASilentConnection)
{
    EventLoop loop;
    SilentPeer peer;
    ReplicaLink link(loop, "etela", 1, { { 2, { "127.0.0.1", peer.port() } } });
    EXPECT_TRUE(waitFor(loop, [&] {
        link.send(2, "heartbeat");
        return peer.acceptWaiting() >= 2;
    }));
}

// Guards against members that hear nothing from the leader while the link between them is slow:
// each connection was closed before its first reply arrived, for as long as the link was slow.
TEST(ReplicaLink, keepsTheConnectionToAMemberThatRepliesSlowly)
{
    EventLoop loop;
    SlowMember::Replies replies;
    RpcServer server(loop, {}, kj::heap<SlowMember>(loop, Milliseconds { 600 }, replies));
    ASSERT_EQ(server.listen({ "127.0.0.1", 0 }), "");
    ReplicaLink link(loop, "etela", 1, { { 2, { "127.0.0.1", server.port() } } });
    EXPECT_TRUE(waitFor(loop, [&] {
        link.send(2, "heartbeat");
        return replies.count >= 100;
    }));
    EXPECT_LE(server.acceptedCount(), 4U); // the timeout doubles twice from 250 ms
}

// Guards against a new connection that is closed too early by a message that was sent just after
// the one before had timed out: it had the timeout from before that doubled.
TEST(ReplicaLink, keepsANewConnectionForTheDoubledTimeout)
{
    constexpr Milliseconds sendInterval { 2 }; // so that one is sent when a connection is closed
    EventLoop loop;
    SlowMember::Replies replies;
    RpcServer server(loop, {}, kj::heap<SlowMember>(loop, Milliseconds { 600 }, replies));
    ASSERT_EQ(server.listen({ "127.0.0.1", 0 }), "");
    ReplicaLink link(loop, "etela", 1, { { 2, { "127.0.0.1", server.port() } } });
    const TimePoint end = loop.now() + Milliseconds { 5000 };
    while (replies.count == 0 && loop.now() < end) {
        link.send(2, "heartbeat");
        loop.wait(rpcDelay(loop, sendInterval));
    }
    EXPECT_GT(replies.count, 0);
    EXPECT_LE(server.acceptedCount(), 3U); // timeouts of 250, 500 and 1000 ms
}

// Guards against clients that disappeared without closing their connections and use up the
// connections of a server.
TEST(RpcServer, limitsItsConnectionsAndClosesIdleOnes)
{
    EventLoop loop;
    RpcServerLimits limits;
    limits.maxConnections = 2;
    limits.idleTimeout = { 100 };
    ListeningMember peer(loop, limits);
    const auto counters = std::make_shared<ByteCounters>();
    std::vector<kj::Own<RpcStream>> streams;
    for (int i = 0; i < 4; ++i) {
        streams.push_back(loop.wait(RpcStream::connect(loop, peer.address(), { 1000 }, counters)));
    }
    EXPECT_LE(peer.server.connectionCount(), 2U);
    EXPECT_TRUE(waitFor(loop, [&] { return peer.server.connectionCount() == 0; }));
}
