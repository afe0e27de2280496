#include "connection/fakemember.h"
#include "connection/rpcconnection.h"
#include "connection/rpcdelay.h"
#include "connection/rpcserver.h"
#include "connection/rpcsession.h"
#include "connection/silentpeer.h"
#include "connection/socketaddress.h"

#include "support/closedport.h"
#include "support/fakepeer.h"
#include "support/fastserver.h"
#include "support/rawclient.h"

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
    const ClosedPort closed;
    EXPECT_ANY_THROW(connectTo(loop, closed.port, std::make_shared<ByteCounters>()));
}

// Guards against a connection that is read as long as a fast peer sends, before the receiver looks
// at the bytes.
TEST(RpcStream, receivesBoundedPieces)
{
    constexpr std::size_t kilobyte = 1024;
    EventLoop loop;
    FastServer server("x");
    const auto counters = std::make_shared<ByteCounters>();
    auto stream = connectTo(loop, server.port, counters);
    std::string buffer(32 * kilobyte * kilobyte, 0);
    bool isDone = false;
    auto read = stream->tryRead(buffer.data(), buffer.size(), buffer.size())
                        .then([&](size_t) { isDone = true; })
                        .eagerlyEvaluate(nullptr);
    std::uint64_t before = 0;
    std::uint64_t largestPiece = 0;
    while (!isDone) {
        loop.wait(rpcDelay(loop, {})); // the next iteration
        largestPiece = std::max(largestPiece, counters->received - before);
        before = counters->received;
    }
    EXPECT_EQ(counters->received, buffer.size());
    EXPECT_LE(largestPiece, 512 * kilobyte);
}

// Guards against messages that claim more memory than a host has, and against bytes without end
// that are no message.
TEST(RpcServer, closesAConnectionWithoutMessages)
{
    using namespace std::string_literals;
    EventLoop loop;
    FakeBehaviour behaviour;
    RpcServer server(loop, {}, kj::heap<FakeMember>(behaviour));
    ASSERT_EQ(server.listen(anyPort), "");
    const std::vector<std::string> forms {
        "\0\0\0\0\xff\xff\xff\x7f"s, // a segment of 16 GiB
        "\0\0\0\0\x01\0\x80\0"s, // a segment of 64 MiB and a word, more than the limit
        "\xff\xff\xff\x7f"s + std::string(1024, 1), // 2^31 segments
        "\xff\x01\0\0"s + std::string(8192, '\xff'), // 512 segments, each of 32 GiB
        "HTTP/1.1 200 OK\r\n\r\n"s,
        std::string(65536, '?'),
        std::string(65536, '\0'), // empty messages
    };
    for (const std::string &form : forms) {
        RawClient client(server.port());
        client.write(form);
        for (int i = 0; i < 2000 && !client.isClosedByServer(); ++i) {
            loop.wait(rpcDelay(loop, { 1 }));
        }
        EXPECT_TRUE(client.isClosedByServer()) << form.substr(0, 20);
        EXPECT_LE(server.bytes().received, 128U * 1024);
    }
}

// Guards against a caller that keeps a connection to a faulty member, which answers with bytes
// without end.
TEST(RpcSession, endsWhenThePeerSendsNoMessages)
{
    using namespace std::string_literals;
    for (const std::string &form : { "\0\0\0\0\xff\xff\xff\x7f"s, "HTTP/1.1 200 OK\r\n"s,
                                     std::string(65536, '\0'), std::string(65536, 'a') }) {
        EventLoop loop;
        FakePeer peer(loop, [&](FakePeer::Connection &connection) { connection.write(form); });
        const auto counters = std::make_shared<ByteCounters>();
        RpcConnection connection(loop, { "127.0.0.1", peer.port }, testTimeout, counters);
        auto call = connection
                            .call<void>({ testTimeout, testTimeout },
                                        [](rpc::Member::Client client) {
                                            return client.deliverRequest().send().ignoreResult();
                                        })
                            .then([] { return false; }, [](const kj::Exception &) { return true; });
        const TimePoint start = loop.now();
        EXPECT_TRUE(loop.wait(kj::mv(call)));
        EXPECT_LT(loop.now() - start, testTimeout);
        loop.wait(rpcDelay(loop, { 50 })); // the call may end just before its connection
        EXPECT_FALSE(connection.isOpen());
        EXPECT_LE(counters->received, 128U * 1024);
    }
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
