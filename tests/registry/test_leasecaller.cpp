#include "registry/leasecaller.h"

#include "support/fakecodec.h"
#include "support/fakepeer.h"
#include "support/fastserver.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>

using namespace cassiaroad;

namespace {

constexpr Milliseconds callTimeout { 3000 };
constexpr std::size_t endlessPiece = std::size_t(512) * 1024; // more than any part of a response

/**
 * Sends one grant to @p port and returns its result, if there is one before its timeout. Calls
 * @p whileConnecting before the loop runs; the kernel opens the connection meanwhile.
 */
std::optional<LeaseCallResult> callOnce(
        EventLoop &loop, std::uint16_t port, const std::function<void()> &whileConnecting = [] {})
{
    const FakeCodec codec;
    std::optional<LeaseCallResult> ended;
    LeaseCaller caller(
            loop, codec, [] { return true; },
            [&](const LeaseCall &, const LeaseCallResult &result) { ended = result; });
    LeaseCall call;
    call.number = 1;
    call.address = { "127.0.0.1", port };
    call.body = GrantCall {};
    call.timeout = callTimeout;
    caller.send(call);
    whileConnecting();
    waitUntil(loop, [&] { return ended.has_value(); }, { callTimeout.count / 2 });
    return ended;
}

} // namespace

// Guards against a leader that reads without end from an upstream in trouble: the call has to end
// when its response exceeds a bound, before its timeout.
TEST(LeaseCaller, endsCallsThatGetBytesWithoutEnd)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "transfer-encoding: chunked\r\n\r\n";
    for (const std::string &beginning :
         { head + "x: ", chunked + "7fffffff\r\n", chunked + "5;",
           head + "content-length: 99999999\r\n\r\n", std::string("no answer ") }) {
        EventLoop loop;
        FakePeer peer(loop, [&](FakePeer::Connection &connection) {
            connection.write(beginning + std::string(endlessPiece, 'y'));
        });
        const std::optional<LeaseCallResult> result = callOnce(loop, peer.port);
        ASSERT_TRUE(result) << beginning;
        EXPECT_TRUE(std::holds_alternative<LeaseCallBroken>(*result)) << beginning;
    }
}

// Guards against a call that is written to an upstream that sends without being asked, and whose
// bytes would be taken for the response.
TEST(LeaseCaller, sendsNothingToAnUpstreamThatSendsFirst)
{
    EventLoop loop;
    FastServer server("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    const std::optional<LeaseCallResult> result
            = callOnce(loop, server.port, [&] { server.waitUntilHeadArrived(); });
    ASSERT_TRUE(result);
    EXPECT_TRUE(std::holds_alternative<LeaseCallNotSent>(*result));
}
