#include "gatewayrequesttest.h"

#include <algorithm>

using namespace cassiaroad;

namespace {

constexpr std::size_t manyRequests = 40; // more than an upstream gets at the same time

/** Upstreams that turn requests away and ask for a pause; counts the requests that reach them. */
class PausedUpstreamTest : public GatewayRequestTest
{
protected:
    /** Answers the first @p refusals requests with @p head, which asks for the pause. */
    void serveAfterRefusals(int refusals, const std::string &head)
    {
        this->serve([this, refusals, head](FakePeer::Connection &connection) {
            this->requestTimes.push_back(this->loop.now());
            const std::string received = std::exchange(connection.received, {});
            const bool isRefused = static_cast<int>(this->requestTimes.size()) <= refusals;
            connection.write(withRequestId(received, isRefused ? head : "HTTP/1.1 200 OK\r\n")
                             + "content-length: 0\r\n\r\n");
        });
    }

    std::vector<TimePoint> requestTimes; // at the upstreams
};

const std::string longPause = "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\nretry-after: 30\r\n";
const std::string shortPause = "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\nretry-after: 0.3\r\n";

} // namespace

// Guards against requests for keys of an upstream that has asked for a pause: neither the one that
// it has turned away nor later ones are sent, and their clients are told when to come back.
TEST_F(PausedUpstreamTest, sendsAnOwnerNothingInItsPause)
{
    this->serveAfterRefusals(1, longPause);
    const auto first = this->request("POST", "/order/1");
    EXPECT_TRUE(this->waitForResponse(*first, "HTTP/1.1 503"));
    EXPECT_NE(first->received().find("retry-after: "), std::string::npos);
    const auto next = this->request("GET", "/read/1", "2000", "r2");
    EXPECT_TRUE(this->waitForResponse(*next, "HTTP/1.1 503", { 200 }));
    EXPECT_EQ(this->requestTimes.size(), 1U);
}

// Guards against refusing requests that could wait for the end of a short pause.
TEST_F(PausedUpstreamTest, sendsWaitingRequestsAfterAShortPause)
{
    constexpr Milliseconds pause { 300 };
    this->serveAfterRefusals(1, shortPause);
    const auto first = this->request("POST", "/order/1");
    const auto next = this->request("POST", "/order/1", "2000", "r2");
    EXPECT_TRUE(this->waitForResponse(*first, "HTTP/1.1 200"));
    EXPECT_TRUE(this->waitForResponse(*next, "HTTP/1.1 200"));
    EXPECT_GE((this->requestTimes.back() - this->requestTimes.front()).count, pause.count);
}

// Guards against requests that waited for capacity of an upstream and are sent to it in its pause.
TEST_F(PausedUpstreamTest, sendsNoRequestThatWaitedForCapacityInThePause)
{
    this->serve([this](FakePeer::Connection &connection) {
        if (!connection.received.empty()) {
            this->requestTimes.push_back(this->loop.now());
        }
    });
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t i = 0; i < manyRequests; ++i) {
        clients.push_back(this->request("POST", "/order/1", "2000", "r" + std::to_string(i)));
    }
    runFor(this->loop, { 200 });
    const std::size_t sent = this->requestTimes.size();
    ASSERT_LT(sent, manyRequests);
    for (const auto &connection : this->peer->connections) {
        connection->write(withRequestId(connection->received, longPause)
                          + "content-length: 0\r\n\r\n");
    }
    runFor(this->loop, { 300 });
    EXPECT_EQ(this->requestTimes.size(), sent);
}

// Guards against requests without key to an upstream that has asked for a pause, also where its
// refusal does not say that the request was not run.
TEST_F(PausedUpstreamTest, choosesNoUpstreamInItsPause)
{
    this->serveAfterRefusals(1, "HTTP/1.1 503 Full\r\nretry-after: 30\r\n");
    const auto first = this->request("POST", "/file/1");
    // The upstream does not tell that the request has not run, so its client is not told so either.
    EXPECT_TRUE(this->waitForResponse(*first, "HTTP/1.1 502"));
    const auto next = this->request("POST", "/file/1", "2000", "r2");
    EXPECT_TRUE(this->waitForResponse(*next, "HTTP/1.1 503", { 200 }));
    EXPECT_NE(next->received().find("retry-after: "), std::string::npos);
    EXPECT_EQ(this->requestTimes.size(), 1U);
}

// Guards against a 503 response of an upstream that is replaced by "outcome unknown": a repetition
// that cannot be sent, because of the pause, must not hide the response.
TEST_F(PausedUpstreamTest, passesOnTheResponseOfAnUpstreamThatAsksForALongPause)
{
    this->serveAfterRefusals(1, "HTTP/1.1 503 Full\r\nretry-after: 30\r\n");
    const auto client = this->request("GET", "/read/1");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503"));
    EXPECT_EQ(client->received().find("HTTP/1.1 502"), std::string::npos);
}

// Guards against refusing requests for keys that are about to move: an upstream that leaves and
// asks for a pause loses its keys long before the pause is over.
TEST_F(PausedUpstreamTest, waitsForTheNextOwnerOfAnUpstreamThatLeavesInItsPause)
{
    this->serveAfterRefusals(1, longPause + "x-leaving: 1\r\n");
    const auto client = this->request("POST", "/order/1");
    runFor(this->loop, { 200 });
    EXPECT_EQ(client->received(), "");
    ++this->born;
    this->publish(RangePhase::Owned);
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200"));
}

// Guards against requests that wait for the end of a pause although another upstream owns their key
// meanwhile.
TEST_F(PausedUpstreamTest, sendsARequestToTheNextOwnerBeforeThePauseEnds)
{
    constexpr Milliseconds mostOfThePause { 300 };
    this->serveAfterRefusals(1, "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\nretry-after: 0.6\r\n");
    const auto client = this->request("POST", "/order/1");
    runFor(this->loop, { 100 });
    ++this->born;
    this->publish(RangePhase::Owned);
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200", mostOfThePause));
}

// Guards against refusing a request for the pause of a former owner: its 421 response says that the
// key has another owner, which has asked for no pause.
TEST_F(PausedUpstreamTest, repeatsAMisdirectedRequestAtTheNextOwner)
{
    this->serve([this](FakePeer::Connection &connection) {
        this->requestTimes.push_back(this->loop.now());
        if (this->requestTimes.size() > 2) {
            connection.write(withRequestId(connection.received, "HTTP/1.1 200 OK\r\n")
                             + "content-length: 0\r\n\r\n");
        }
    });
    const auto paused = this->request("POST", "/order/1");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->requestTimes.size() == 1; }));
    const auto moved = this->request("POST", "/order/1", "2000", "r2");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->requestTimes.size() == 2; }));
    FakePeer::Connection &first = *this->peer->connections.at(0);
    first.write(withRequestId(first.received, longPause) + "content-length: 0\r\n\r\n");
    ASSERT_TRUE(this->waitForResponse(*paused, "HTTP/1.1 503"));
    ++this->born;
    this->publish(RangePhase::Owned);
    FakePeer::Connection &second = *this->peer->connections.at(1);
    second.write(withRequestId(second.received, "HTTP/1.1 421 Misdirected\r\n")
                 + "content-length: 0\r\n\r\n");
    EXPECT_TRUE(this->waitForResponse(*moved, "HTTP/1.1 200"));
}

// Guards against a pause that ends up to a millisecond early, since the clock rounds the time of
// the response down: requests that wait for its end arrive within it.
TEST_F(GatewayRequestTest, pausesForTheWholeTimeOnAClockOfMilliseconds)
{
    this->serve([](FakePeer::Connection &) {});
    const auto upstream = this->core.upstream("i-" + keyedService);
    ASSERT_NE(upstream, nullptr);
    const TimePoint before = this->loop.now();
    this->core.recordNotice(upstream, { false, Milliseconds { 1000 } });
    EXPECT_TRUE(upstream->isPaused(before + Milliseconds { 1000 }));
}

// Guards against a later, shorter pause that ends an earlier one.
TEST(GatewayUpstream, keepsTheLongestPause)
{
    constexpr TimePoint now { 1000000 };
    RoutedUpstream routed;
    routed.upstream.incarnation = { "i-1", 1 };
    GatewayUpstream upstream(routed, Distance::SameZone);
    EXPECT_FALSE(upstream.isPaused(now));
    upstream.recordPause({ 3000 }, now);
    upstream.recordPause({ 1000 }, now + Milliseconds { 100 });
    EXPECT_EQ(upstream.pauseLeft(now + Milliseconds { 2000 }), Milliseconds { 1000 });
    EXPECT_FALSE(upstream.isPaused(now + Milliseconds { 3000 }));
}
