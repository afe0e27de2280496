#include "gatewayrequesttest.h"

#include <algorithm>

using namespace cassiaroad;

// Guards against cancelling and refusing a request that the upstream is processing, as a stopping
// gateway did with slow lookups.
TEST_F(GatewayRequestTest, doesNotCancelASlowRequestWhileTheGatewayStops)
{
    this->serve([](FakePeer::Connection &) {});
    const auto client = this->request("GET", "/read/1");
    runFor(this->loop, { 100 });
    this->core.stop({ 3000 });
    runFor(this->loop, { 1000 });
    ASSERT_EQ(this->peer->connections.size(), 1U);
    EXPECT_FALSE(this->peer->connections[0]->closedByClient);
    EXPECT_EQ(client->received(), "");
}

// Guards against requests that arrive on persistent connections while a gateway stops, are sent to
// an upstream, and lose their connection when the process ends.
TEST_F(GatewayRequestTest, refusesRequestsThatArriveLateWhileTheGatewayStops)
{
    this->serve([](FakePeer::Connection &) {});
    this->core.stop({ 100 });
    this->callers.closeAfterNextResponse();
    const auto early = this->request("POST", "/order/1");
    runFor(this->loop, { 150 });
    EXPECT_EQ(early->received(), "");
    const auto late = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*late, "HTTP/1.1 503"));
    EXPECT_NE(late->received().find("Connection: close"), std::string::npos);
    EXPECT_EQ(this->peer->connections.size(), 1U);
}

// Full upstreams while a gateway stops. Guards against requests that wait in the gateway until its
// process ends and get no response. Requests at an upstream are not refused.
TEST_F(GatewayRequestTest, refusesWaitingRequestsBeforeTheGatewayEnds)
{
    this->serve([](FakePeer::Connection &) {});
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 40; ++i) {
        clients.push_back(this->request("POST", "/order/1"));
    }
    runFor(this->loop, { 200 });
    this->core.stop({ 3000 });
    this->core.enterStopStage(StopStage::Refuse);
    runFor(this->loop, { 200 });
    const auto refused = static_cast<std::size_t>(
            std::count_if(clients.begin(), clients.end(), [](const auto &client) {
                return client->received().find("HTTP/1.1 503") != std::string::npos;
            }));
    EXPECT_GT(refused, 0U);
    EXPECT_GT(this->peer->connections.size(), 0U);
    EXPECT_EQ(refused + this->peer->connections.size(), clients.size());
}

// Guards against a connection that closes without a response because the gateway ends while the
// upstream of its request is silent.
TEST_F(GatewayRequestTest, respondsToSentRequestsBeforeTheGatewayEnds)
{
    this->serve([](FakePeer::Connection &) {});
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(waitUntil(this->loop, [&] {
        return !this->peer->connections.empty() && !this->peer->connections[0]->received.empty();
    }));
    this->core.stop({ 3000 });
    this->core.enterStopStage(StopStage::Refuse);
    runFor(this->loop, { 100 });
    EXPECT_EQ(client->received(), "");
    this->core.enterStopStage(StopStage::Respond);
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502", { 200 }));
}
