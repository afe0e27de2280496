#include "connection/controlclient.h"

#include "connection/fakemember.h"
#include "connection/rpcdelay.h"
#include "connection/silentpeer.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr Milliseconds callTimeout { 3000 };

void fillNothing(rpc::WatchRequest::Builder /*request*/) { }

std::uint32_t watchLease(EventLoop &loop, ControlClient &client)
{
    const auto reply = loop.wait(client.watch(fillNothing, callTimeout));
    return reply.getReply().getUpdate().getLeaseMs();
}

/** Address of a port that nothing listens on. */
HostAddress closedPort()
{
    const SilentPeer peer;
    return { "127.0.0.1", peer.port() };
}

} // namespace

// Guards against an entry host that keeps calling a member that is not the leader.
TEST(ControlClient, followsTheLeaderHint)
{
    EventLoop loop;
    ListeningMember follower(loop);
    ListeningMember other(loop);
    ListeningMember leader(loop);
    follower.behaviour.reply = FakeBehaviour::Reply::Follower;
    follower.behaviour.leaderAddress = leader.address().toString();
    ControlClient client(loop, { follower.address(), other.address(), leader.address() });
    EXPECT_EQ(watchLease(loop, client), 1000U);
    EXPECT_EQ(other.behaviour.calls, 0);
    EXPECT_EQ(watchLease(loop, client), 1000U);
    EXPECT_EQ(follower.behaviour.calls, 1);
    EXPECT_GT(client.bytesSent(), 0U);
    EXPECT_GT(client.bytesReceived(), 0U);
}

// Guards against an entry host whose lease expires because a member is down or silent.
TEST(ControlClient, skipsMembersThatDoNotReply)
{
    EventLoop loop;
    SilentPeer silent;
    ListeningMember leader(loop);
    ControlClient client(loop, { closedPort(), { "127.0.0.1", silent.port() }, leader.address() });
    const TimePoint start = loop.now();
    EXPECT_EQ(watchLease(loop, client), 1000U);
    EXPECT_LT(loop.now() - start, Milliseconds { 1000 }); // the entry lease
}

// Guards against a silent connection that is used for every further call.
TEST(ControlClient, opensANewConnectionAfterSilence)
{
    EventLoop loop;
    ListeningMember leader(loop);
    ControlClient client(loop, { leader.address() });
    EXPECT_EQ(watchLease(loop, client), 1000U);
    leader.behaviour.reply = FakeBehaviour::Reply::Never;
    const auto pending = client.watch(fillNothing, callTimeout).eagerlyEvaluate(nullptr);
    loop.wait(rpcDelay(loop, { 300 }));
    leader.behaviour.reply = FakeBehaviour::Reply::Leader;
    loop.wait(rpcDelay(loop, { 1000 }));
    EXPECT_EQ(leader.behaviour.calls, 3); // the second one got no reply and was sent again
}

// Guards against a call that waits for a leader without end.
TEST(ControlClient, rejectsACallWithoutALeaderInTime)
{
    EventLoop loop;
    ListeningMember follower(loop);
    follower.behaviour.reply = FakeBehaviour::Reply::Follower;
    ControlClient client(loop, { follower.address(), closedPort() });
    EXPECT_ANY_THROW(loop.wait(client.watch(fillNothing, { 200 })));
}

// Guards against a begin that is executed twice: the second would find the request in progress.
TEST(ControlClient, neverSendsABeginAgainThatMayHaveRun)
{
    EventLoop loop;
    ListeningMember leader(loop);
    leader.behaviour.reply = FakeBehaviour::Reply::Never;
    ControlClient client(loop, { closedPort(), leader.address() });
    EXPECT_ANY_THROW(loop.wait(client.begin([](rpc::BeginRequest::Builder) {}, { 300 })));
    EXPECT_EQ(leader.behaviour.calls, 1);
}

// Guards against a pending call that refers to a destroyed client.
TEST(ControlClient, rejectsItsCallsWhenDestroyed)
{
    EventLoop loop;
    ListeningMember leader(loop);
    leader.behaviour.reply = FakeBehaviour::Reply::Never;
    auto client = std::make_unique<ControlClient>(loop, std::vector { leader.address() });
    auto pending = client->watch(fillNothing, callTimeout);
    loop.wait(rpcDelay(loop, { 20 }));
    client.reset();
    EXPECT_ANY_THROW(loop.wait(kj::mv(pending)));
}
