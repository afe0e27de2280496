#include "connection/rpcsession.h"

#include "support/fakepeer.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against a crash when a member closes its connection just before a call.
TEST(RpcSession, rejectsACallAfterItsConnectionHasEnded)
{
    EventLoop loop;
    FakePeer peer(loop, [](FakePeer::Connection &) {});
    auto session
            = kj::refcounted<RpcSession>(loop, HostAddress { "127.0.0.1", peer.port },
                                         Milliseconds { 1000 }, std::make_shared<ByteCounters>());
    loop.wait(session->whenConnected());
    ASSERT_TRUE(waitUntil(loop, [&] { return !peer.connections.empty(); }));
    const rpc::Member::Client member = session->member();
    peer.connections[0]->disconnect();
    ASSERT_TRUE(waitUntil(loop, [&] { return session->isClosed(); }));
    EXPECT_ANY_THROW(session->member());
}

// Guards against a call that fails on a connection which opened after its caller had stopped
// waiting, and which the member has closed since: nothing read from it before the first call.
TEST(RpcSession, noticesTheEndOfAConnectionThatNoCallHasUsed)
{
    EventLoop loop;
    FakePeer peer(loop, [](FakePeer::Connection &) {});
    auto session
            = kj::refcounted<RpcSession>(loop, HostAddress { "127.0.0.1", peer.port },
                                         Milliseconds { 1000 }, std::make_shared<ByteCounters>());
    loop.wait(session->whenConnected());
    ASSERT_TRUE(waitUntil(loop, [&] { return !peer.connections.empty(); }));
    peer.connections[0]->disconnect();
    EXPECT_TRUE(waitUntil(loop, [&] { return session->isClosed(); }));
}
