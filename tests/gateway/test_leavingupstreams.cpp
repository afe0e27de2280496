#include "gatewayrequesttest.h"

#include <algorithm>

using namespace cassiaroad;

namespace {

// Long enough that the last request before the end of a drain period of this length is not refused.
constexpr Milliseconds shortDrainPeriod { 1000 };

/** Upstreams that say in each response that they leave; counts the requests that reach them. */
class LeavingUpstreamTest : public GatewayRequestTest
{
protected:
    LeavingUpstreamTest() { this->settings.bounds.drainPeriod = shortDrainPeriod; }

    void serveLeaving()
    {
        this->serve([this](FakePeer::Connection &connection) {
            ++this->requests;
            const std::string received = std::exchange(connection.received, {});
            connection.write(withRequestId(received, "HTTP/1.1 200 OK\r\nx-leaving: 1\r\n")
                             + "content-length: 0\r\n\r\n");
        });
    }

    int requests = 0;
};

} // namespace

// Guards against sending requests to the address of a stopped upstream until their deadline: a 421
// response of the new upstream at this address must end the use of the previous one.
TEST_F(GatewayRequestTest, stopsUsingAnUpstreamWhoseAddressWasTakenOver)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        ++requests;
        connection.write(withRequestId(std::exchange(connection.received, {}),
                                       "HTTP/1.1 421 Misdirected\r\nx-upstream: i-new\r\n")
                         + "content-length: 0\r\n\r\n");
    });
    const auto client = this->request("GET", "/read/1");
    ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503"));
    EXPECT_EQ(requests, 1);
}

// Guards against requests to an upstream that announced its shutdown seconds ago, when the gateway
// hears of the announcement late because it got no updates meanwhile.
TEST_F(GatewayRequestTest, sendsNothingToAnUpstreamWhoseAnnouncementArrivedLate)
{
    this->serve([](FakePeer::Connection &) {});
    const TimePoint now = this->loop.now();
    this->publish(RangePhase::Owned, UpstreamPhase::Ready, now - Milliseconds { 2000 });
    this->publish(RangePhase::Owned, UpstreamPhase::Draining, now);
    const auto late = this->request("GET", "/read/1");
    runFor(this->loop, { 200 });
    EXPECT_TRUE(this->peer->connections.empty());
}

// Guards against requests to an upstream whose announcement the leader had acknowledged before it
// confirmed a routing table that it had built earlier.
TEST_F(GatewayRequestTest, sendsNothingToAnUpstreamWhoseAnnouncementAnOldTableDidNotShow)
{
    this->serve([](FakePeer::Connection &) {});
    GatewayUpdate confirmation;
    confirmation.version = 1;
    const TimePoint now = this->loop.now();
    this->publish(RangePhase::Owned, UpstreamPhase::Ready, now - Milliseconds { 5000 });
    confirmation.tableTag = this->tag;
    confirmation.tableAge = { 2000 };
    this->core.update(confirmation, now);
    this->publish(RangePhase::Owned, UpstreamPhase::Draining, now);
    const auto late = this->request("GET", "/read/1");
    runFor(this->loop, { 200 });
    EXPECT_TRUE(this->peer->connections.empty());
}

// Guards against requests to an upstream that has left or lost their key while their connection
// opened.
TEST_F(GatewayRequestTest, sendsNothingToAnUpstreamThatLeavesWhileItsConnectionOpens)
{
    this->serve([](FakePeer::Connection &) {});
    this->publish(RangePhase::Pending);
    const auto client = this->request("POST", "/order/1");
    runFor(this->loop, { 100 });
    const TimePoint now = this->loop.now();
    this->publish(RangePhase::Owned, UpstreamPhase::Ready, now - Milliseconds { 2000 }); // connects
    this->publish(RangePhase::Owned, UpstreamPhase::Draining, now);
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503"));
    for (const auto &connection : this->peer->connections) {
        EXPECT_EQ(connection->received, "");
    }
}

// Guards against keys that nobody serves while an upstream that has just announced its shutdown
// still owns them.
TEST_F(GatewayRequestTest, sendsRequestsToAnUpstreamThatHasJustAnnouncedItsShutdown)
{
    this->serve([](FakePeer::Connection &) {});
    this->publish(RangePhase::Owned, UpstreamPhase::Draining, this->loop.now());
    const auto client = this->request("GET", "/read/1");
    EXPECT_TRUE(waitUntil(this->loop, [&] { return !this->peer->connections.empty(); }));
}

// Guards against requests to an upstream whose own responses have said that it leaves for longer
// than its drain period, while the routing table tells that it is ready.
TEST_F(LeavingUpstreamTest, sendsNothingToAnUpstreamThatHasSaidThatItLeaves)
{
    this->serveLeaving();
    const auto first = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*first, "HTTP/1.1 200"));
    runFor(this->loop, shortDrainPeriod);
    this->publish(RangePhase::Owned);
    const auto late = this->request("POST", "/order/1", "2000", "r2");
    EXPECT_TRUE(this->waitForResponse(*late, "HTTP/1.1 503"));
    EXPECT_EQ(this->requests, 1);
}

// Guards against new work for an upstream that leaves, although no key binds the request to it.
TEST_F(LeavingUpstreamTest, choosesNoLeavingUpstreamForRequestsWithoutKey)
{
    this->serveLeaving();
    const auto first = this->request("POST", "/file/1");
    ASSERT_TRUE(this->waitForResponse(*first, "HTTP/1.1 200"));
    const auto next = this->request("POST", "/file/1", "2000", "r2");
    EXPECT_TRUE(this->waitForResponse(*next, "HTTP/1.1 503"));
    EXPECT_EQ(this->requests, 1);
}

// Guards against keys that stay with a leaving upstream, and against other gateways that do not
// hear of it: the leader is told until its routing table shows it.
TEST_F(LeavingUpstreamTest, reportsAnUpstreamThatLeavesUntilTheTableTellsSo)
{
    this->serveLeaving();
    EXPECT_TRUE(this->core.takeReport().leaving.empty());
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200"));
    const std::vector<UpstreamIncarnation> expected { { "i-" + keyedService, this->born } };
    EXPECT_EQ(this->core.takeReport().leaving, expected);
    EXPECT_EQ(this->core.takeReport().leaving, expected);
    this->publish(RangePhase::Owned, UpstreamPhase::Draining, this->loop.now());
    EXPECT_TRUE(this->core.takeReport().leaving.empty());
}

// Guards against a new incarnation that gets no requests because an earlier one has left.
TEST_F(LeavingUpstreamTest, sendsRequestsToANewIncarnation)
{
    this->serveLeaving();
    const auto first = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*first, "HTTP/1.1 200"));
    runFor(this->loop, shortDrainPeriod);
    ++this->born;
    this->publish(RangePhase::Owned);
    const auto next = this->request("POST", "/order/1", "2000", "r2");
    EXPECT_TRUE(this->waitForResponse(*next, "HTTP/1.1 200"));
}

// Guards against an upstream that gets requests again because the routing table has not listed it
// for a while.
TEST_F(LeavingUpstreamTest, remembersThatAnUpstreamLeavesThatIsListedAgain)
{
    this->serveLeaving();
    const auto first = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*first, "HTTP/1.1 200"));
    this->publishNoUpstreams();
    runFor(this->loop, shortDrainPeriod);
    this->publish(RangePhase::Owned);
    const auto late = this->request("POST", "/order/1", "2000", "r2");
    EXPECT_TRUE(this->waitForResponse(*late, "HTTP/1.1 503"));
    EXPECT_EQ(this->requests, 1);
}

// Guards against a forgotten statement: the response that says that the upstream leaves arrives
// while the routing table does not list it.
TEST_F(LeavingUpstreamTest, remembersAnUpstreamThatSaysThatItLeavesWhileItIsNotListed)
{
    this->serve([this](FakePeer::Connection &) { ++this->requests; });
    const auto first = this->request("POST", "/order/1");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->requests == 1; }));
    this->publishNoUpstreams();
    FakePeer::Connection &connection = *this->peer->connections.front();
    const std::string received = std::exchange(connection.received, {});
    connection.write(withRequestId(received, "HTTP/1.1 200 OK\r\nx-leaving: 1\r\n")
                     + "content-length: 0\r\n\r\n");
    ASSERT_TRUE(this->waitForResponse(*first, "HTTP/1.1 200"));
    runFor(this->loop, shortDrainPeriod);
    this->publish(RangePhase::Owned);
    const auto late = this->request("POST", "/order/1", "2000", "r2");
    EXPECT_TRUE(this->waitForResponse(*late, "HTTP/1.1 503"));
    EXPECT_EQ(this->requests, 1);
}

// Guards against draining an upstream on the word of another one: the response names the upstream
// that has sent it, and a leader cannot take back that an upstream leaves.
TEST_F(LeavingUpstreamTest, doesNotReportAnUpstreamForWhichAnotherOneHasResponded)
{
    this->serve([](FakePeer::Connection &connection) {
        connection.write(withRequestId(std::exchange(connection.received, {}),
                                       "HTTP/1.1 421 Misdirected\r\nx-upstream: i-other\r\n"
                                       "x-leaving: 1\r\n")
                         + "content-length: 0\r\n\r\n");
    });
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503"));
    EXPECT_TRUE(this->core.takeReport().leaving.empty());
}
