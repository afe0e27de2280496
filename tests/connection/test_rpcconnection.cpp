#include "connection/rpcconnection.h"

#include "connection/fakemember.h"

#include "support/fulllistener.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against a caller on a slow link that begins a new connection with each call and so never
// gets one: the attempt goes on after the call has ended.
TEST(RpcConnection, keepsConnectingAfterACallHasStoppedWaiting)
{
    EventLoop loop;
    FullListener listener;
    RpcConnection connection(loop, { "127.0.0.1", listener.port }, { 5000 },
                             std::make_shared<ByteCounters>());
    bool failed = false;
    const auto send = [](rpc::Member::Client) { return kj::Promise<void>(kj::READY_NOW); };
    const kj::Promise<void> call
            = connection.call<void>({ { 100 }, { 4000 } }, send)
                      .then([] {}, [&](const kj::Exception &) { failed = true; })
                      .eagerlyEvaluate(nullptr);
    ASSERT_TRUE(waitUntil(loop, [&] { return failed; }, { 1000 }));
    listener.makeRoom();
    EXPECT_TRUE(waitUntil(loop, [&] { return listener.acceptAll() > 0; }, { 4000 }));
}

// Guards against a member that counts as failed because it has closed a connection that was idle.
TEST(RpcConnection, opensANewConnectionAfterTheMemberHasClosedAnIdleOne)
{
    EventLoop loop;
    RpcServerLimits limits;
    limits.idleTimeout = { 100 };
    ListeningMember member(loop, limits);
    RpcConnection connection(loop, member.address(), { 1000 }, std::make_shared<ByteCounters>());
    const auto send = [](rpc::Member::Client client) {
        return client.deliverRequest().send().ignoreResult();
    };
    loop.wait(connection.call<void>({ { 1000 }, { 1000 } }, send));
    ASSERT_TRUE(waitUntil(loop, [&] { return member.server.connectionCount() == 0; }));
    runFor(loop, { 50 });
    loop.wait(connection.call<void>({ { 1000 }, { 1000 } }, send));
    EXPECT_EQ(member.behaviour.delivered.size(), 2U);
}

// Guards against a connection that opens only when the system repeats a lost first packet, one
// second and then two more after the attempt began, though the host can be reached again.
TEST(RpcStream, connectsSoonAfterAHostCanBeReachedAgain)
{
    EventLoop loop;
    FullListener listener;
    bool connected = false;
    const kj::Promise<void> stream
            = RpcStream::connect(loop, { "127.0.0.1", listener.port }, { 5000 },
                                 std::make_shared<ByteCounters>())
                      .then([&](const kj::Own<RpcStream> &) { connected = true; })
                      .eagerlyEvaluate(nullptr);
    runFor(loop, { 1100 }); // the system's next repetition is 900 ms away or more
    ASSERT_FALSE(connected);
    listener.makeRoom();
    EXPECT_TRUE(waitUntil(loop, [&] { return connected; }, { 700 }));
}
