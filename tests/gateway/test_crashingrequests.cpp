#include "gatewayrequesttest.h"

#include <algorithm>

using namespace cassiaroad;

// Guards against sending a request on and on under which one upstream after the other crashes.
TEST_F(GatewayRequestTest, sendsNoRequestUnderWhichThreeUpstreamsHaveCrashed)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        ++requests;
        connection.disconnect();
    });
    for (; this->born <= 3; ++this->born) {
        this->publish(RangePhase::Owned);
        const auto client = this->request("POST", "/order/1");
        ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502"));
    }
    this->publish(RangePhase::Owned);
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503"));
    EXPECT_EQ(requests, 3);
    const auto other = this->request("POST", "/order/2");
    EXPECT_TRUE(this->waitForResponse(*other, "HTTP/1.1 502"));
}

// Guards against a request that crashes one upstream after the other in several copies each, while
// gateways count the upstreams.
TEST_F(GatewayRequestTest, countsEachCopyOfARequestThatAnUpstreamHadWhenItCrashed)
{
    this->serve([this](FakePeer::Connection &) {
        const auto &connections = this->peer->connections;
        const auto received
                = std::count_if(connections.begin(), connections.end(),
                                [](const auto &known) { return !known->received.empty(); });
        if (received < 3) {
            return;
        }
        for (const auto &connection : connections) {
            connection->disconnect();
        }
    });
    std::vector<std::unique_ptr<RawClient>> clients;
    for (const char *id : { "r1", "r2", "r3" }) {
        clients.push_back(this->request("POST", "/order/1", "2000", id));
    }
    for (const auto &client : clients) {
        ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502"));
    }
    this->born = 2;
    this->publish(RangePhase::Owned);
    const auto client = this->request("POST", "/order/1", "2000", "r4");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503", { 500 }));
}

// Guards against refusing a request that upstreams answer, only because some of them have crashed
// while they had one like it.
TEST_F(GatewayRequestTest, sendsARequestOnThatUpstreamsAnswerBetweenCrashes)
{
    bool crashes = true;
    this->serve([&](FakePeer::Connection &connection) {
        if (crashes) {
            connection.disconnect();
            return;
        }
        connection.write(withRequestId(std::exchange(connection.received, {}),
                                       "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n")
                         + "\r\n");
    });
    for (; this->born <= 5; ++this->born) {
        crashes = this->born != 2;
        this->publish(RangePhase::Owned);
        const auto client = this->request("POST", "/order/1");
        ASSERT_TRUE(this->waitForResponse(*client, crashes ? "HTTP/1.1 502" : "HTTP/1.1 200"));
    }
}
