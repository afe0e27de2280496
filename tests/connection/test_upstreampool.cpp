#include "connection/upstreampool.h"

#include "support/fakepeer.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr Milliseconds silenceTimeout { 300 };
const std::string okResponse = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";

class UpstreamPoolTest : public testing::Test
{
protected:
    void serve(FakePeer::Script script)
    {
        this->peer = std::make_unique<FakePeer>(this->loop, std::move(script));
        this->pool = std::make_unique<UpstreamPool>(this->loop, this->client,
                                                    HostAddress { "127.0.0.1", this->peer->port },
                                                    silenceTimeout);
    }

    std::unique_ptr<UpstreamPool::Call> send(std::optional<HttpResult> &result)
    {
        return this->pool->send(
                { "POST", "/k", {}, "x" }, 1000,
                [&result](HttpResult value) { result = std::move(value); }, nullptr);
    }

    EventLoop loop;
    HttpClient client { loop };
    std::unique_ptr<FakePeer> peer;
    std::unique_ptr<UpstreamPool> pool;
};

} // namespace

// Guards against counting one dead connection as a failure of its healthy upstream (section 6.3 a).
TEST_F(UpstreamPoolTest, replacesASilentConnectionWithoutCountingAFailure)
{
    bool silent = false;
    this->serve([&](FakePeer::Connection &connection) {
        // All connections that were open when the middlebox lost track of them stay silent.
        if (!silent || connection.number > 3) {
            connection.write(okResponse);
        }
    });
    std::vector<std::optional<HttpResult>> results(3);
    std::vector<std::unique_ptr<UpstreamPool::Call>> calls;
    for (auto &result : results) {
        calls.push_back(this->send(result));
    }
    ASSERT_TRUE(waitUntil(this->loop, [&] { return results[0] && results[1] && results[2]; }));
    const HostAddress address { "127.0.0.1", this->peer->port };
    ASSERT_EQ(this->client.idleCount(address), 3U);
    this->pool->takeObservation();
    runFor(this->loop, { 10 }); // a connection is reused only after a short delay

    silent = true;
    std::optional<HttpResult> lost;
    const TimePoint start = this->loop.now();
    const auto call = this->send(lost);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return lost.has_value(); }));
    EXPECT_LT(this->loop.now() - start, silenceTimeout + Milliseconds { 700 });
    ASSERT_TRUE(std::holds_alternative<HttpFailure>(*lost));
    EXPECT_EQ(std::get<HttpFailure>(*lost).stage, HttpFailure::Stage::Sent);
    EXPECT_TRUE(call->isSent());
    EXPECT_EQ(this->pool->silentConnections(), 1U);
    EXPECT_EQ(this->pool->takeObservation().failures, 0U);
    // The other idle connections are as old, so they are not used any more.
    EXPECT_LE(this->client.idleCount(address), 1U);
    std::optional<HttpResult> next;
    const auto again = this->send(next);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return next.has_value(); }));
    EXPECT_TRUE(std::holds_alternative<HttpResponse>(*next));
}

// Guards against a frozen upstream that still counts as healthy.
TEST_F(UpstreamPoolTest, countsAFailureWhenTheProbeFails)
{
    this->serve([](FakePeer::Connection &) {});
    std::optional<HttpResult> result;
    const auto call = this->send(result);
    UpstreamObservation seen;
    EXPECT_TRUE(waitUntil(this->loop, [&] {
        seen.failures += this->pool->takeObservation().failures;
        return seen.failures >= 1;
    }));
    // The request may still get a response when the upstream resumes.
    EXPECT_FALSE(result.has_value());
    this->peer->connections[0]->write(okResponse);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return result.has_value(); }));
    EXPECT_TRUE(std::holds_alternative<HttpResponse>(*result));
}

TEST_F(UpstreamPoolTest, countsFailedConnections)
{
    this->serve([](FakePeer::Connection &) {});
    this->peer.reset();
    std::optional<HttpResult> result;
    const auto call = this->send(result);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return result.has_value(); }));
    EXPECT_EQ(std::get<HttpFailure>(*result).stage, HttpFailure::Stage::Connect);
    EXPECT_EQ(this->pool->takeObservation(), (UpstreamObservation { 1, 1, 0 }));
}

// Guards against an upload that is aborted although it makes progress (section 6.4).
TEST_F(UpstreamPoolTest, doesNotAbortSlowRequestsThatMakeProgress)
{
    this->serve([](FakePeer::Connection &connection) {
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n");
    });
    std::optional<HttpResult> result;
    const auto call = this->send(result);
    for (int i = 0; i < 8; ++i) {
        runFor(this->loop, { 150 });
        ASSERT_FALSE(result.has_value());
        this->peer->connections[0]->write("x");
    }
    ASSERT_TRUE(waitUntil(this->loop, [&] { return result.has_value(); }));
    EXPECT_TRUE(std::holds_alternative<HttpResponse>(*result));
    EXPECT_EQ(this->pool->silentConnections(), 0U);
}
