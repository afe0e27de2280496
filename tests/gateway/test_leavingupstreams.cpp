#include "gatewayrequesttest.h"

#include <algorithm>

using namespace cassiaroad;

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
