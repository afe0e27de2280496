#include "connection/rpcdelay.h"
#include "connection/rpcserver.h"
#include "connection/rpcsession.h"
#include "connection/silentpeer.h"
#include "connection/socketaddress.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const HostAddress anyPort { "127.0.0.1", 0 };
constexpr Milliseconds testTimeout { 5000 };

kj::Own<RpcStream> connectTo(EventLoop &loop, std::uint16_t port,
                             const std::shared_ptr<ByteCounters> &counters)
{
    return loop.wait(RpcStream::connect(loop, { "127.0.0.1", port }, testTimeout, counters));
}

} // namespace

// Guards against a write to a closed connection that stays pending without end.
TEST(RpcStream, rejectsAPendingWriteWhenThePeerCloses)
{
    EventLoop loop;
    SilentPeer peer;
    const auto counters = std::make_shared<ByteCounters>();
    auto stream = connectTo(loop, peer.port(), counters);
    const std::string bytes(64 * 1024 * 1024, 'x'); // more than the socket buffers take
    char input = 0;
    auto read = stream->tryRead(&input, 1, 1).eagerlyEvaluate(nullptr);
    auto write = stream->write(bytes.data(), bytes.size())
                         .then([] { return false; }, [](const kj::Exception &) { return true; });
    peer.acceptAndClose();
    EXPECT_TRUE(
            loop.wait(write.exclusiveJoin(rpcDelay(loop, testTimeout).then([] { return false; }))));
    EXPECT_TRUE(stream->isClosed());
}

// Guards against use of the caller's bytes after a write was cancelled: h2o still refers to them.
TEST(RpcStream, closesWhenAWriteIsCancelled)
{
    EventLoop loop;
    SilentPeer peer;
    auto stream = connectTo(loop, peer.port(), std::make_shared<ByteCounters>());
    {
        const std::string bytes(64 * 1024 * 1024, 'x');
        const auto write = stream->write(bytes.data(), bytes.size()).eagerlyEvaluate(nullptr);
        loop.wait(rpcDelay(loop, { 20 }));
    }
    EXPECT_TRUE(stream->isClosed());
    loop.wait(rpcDelay(loop, { 20 }));
}

// Guards against a finished write whose promise resolves only at the next timer of the loop.
TEST(RpcStream, completesASmallWriteAtOnce)
{
    EventLoop loop;
    SilentPeer peer;
    const auto counters = std::make_shared<ByteCounters>();
    auto stream = connectTo(loop, peer.port(), counters);
    const TimePoint start = loop.now();
    loop.wait(stream->write("hello", 5));
    EXPECT_LT(loop.now() - start, Milliseconds { 500 }); // an idle loop sleeps 1,000 ms
    EXPECT_EQ(counters->sent, 5U);
}

// Guards against a connection attempt that never ends.
TEST(RpcStream, rejectsARefusedConnection)
{
    EventLoop loop;
    std::uint16_t port = 0;
    {
        SilentPeer closed;
        port = closed.port();
    }
    EXPECT_ANY_THROW(connectTo(loop, port, std::make_shared<ByteCounters>()));
}

// Guards against a leader hint with a malformed address that is used nevertheless.
TEST(HostAddress, isParsedOnlyFromAWellFormedText)
{
    EXPECT_EQ(parseHostAddress("127.0.0.1:80"), (HostAddress { "127.0.0.1", 80 }));
    EXPECT_EQ(parseHostAddress("127.0.0.1").port, 0);
    EXPECT_EQ(parseHostAddress("127.0.0.1:80x").port, 0);
    EXPECT_EQ(parseHostAddress("127.0.0.1:70000").port, 0);
    EXPECT_EQ(toSocketAddress({ "not a number", 1 }).length, 0U);
}
