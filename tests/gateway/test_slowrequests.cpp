#include "gatewayrequesttest.h"

#include <algorithm>

using namespace cassiaroad;

// Guards against a gateway that cancels a slow lookup in order to repeat it and then does not
// repeat it, since it suspects the owner because of other slow lookups. Its response came after
// SIGTERM when that was just before.
TEST_F(GatewayRequestTest, doesNotCancelASlowLookupThatItWillNotRepeat)
{
    bool isSlow = false;
    this->serve([&](FakePeer::Connection &connection) {
        if (!isSlow) {
            connection.write(
                    withRequestId(std::exchange(connection.received, {}), "HTTP/1.1 200 OK\r\n")
                    + "content-length: 0\r\n\r\n");
        }
    });
    const auto first = this->request("GET", "/read/1");
    ASSERT_TRUE(this->waitForResponse(*first, "HTTP/1.1 200"));
    isSlow = true;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (const char *path : { "/read/2", "/read/3", "/read/4" }) {
        clients.push_back(this->request("GET", path));
    }
    runFor(this->loop, { 1500 });
    for (const auto &client : clients) {
        EXPECT_EQ(client->received(), "");
    }
    for (const auto &connection : this->peer->connections) {
        if (!connection->closedByClient && !connection->received.empty()) {
            connection->write(withRequestId(connection->received, "HTTP/1.1 200 OK\r\n")
                              + "content-length: 0\r\n\r\n");
        }
    }
    for (const auto &client : clients) {
        EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200"));
    }
}

// Guards against a gateway that cancels a slow lookup in order to repeat it before it knows that it
// can: the key may lose its owner, or no connection may open, while the first upstream is at work.
TEST_F(GatewayRequestTest, keepsASlowLookupUntilItsRepetitionIsSent)
{
    bool isSlow = false;
    const auto respond = [](FakePeer::Connection &connection) {
        connection.write(
                withRequestId(std::exchange(connection.received, {}), "HTTP/1.1 200 OK\r\n")
                + "content-length: 0\r\n\r\n");
    };
    this->serve([&](FakePeer::Connection &connection) {
        if (!isSlow) {
            respond(connection);
        }
    });
    const auto first = this->request("GET", "/read/1");
    ASSERT_TRUE(this->waitForResponse(*first, "HTTP/1.1 200"));
    isSlow = true;
    const auto client = this->request("GET", "/read/2");
    runFor(this->loop, { 300 });
    this->publish(RangePhase::Pending);
    runFor(this->loop, { 900 });
    for (const auto &connection : this->peer->connections) {
        if (!connection->closedByClient && !connection->received.empty()) {
            respond(*connection);
        }
    }
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200", { 500 }));
}

// Guards against cancelling a slow request when there is no capacity to send it again.
TEST_F(GatewayRequestTest, doesNotCancelASlowRequestWhenTheUpstreamIsBusy)
{
    this->serve([](FakePeer::Connection &) {});
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 40; ++i) {
        clients.push_back(this->request("GET", "/read/1"));
    }
    runFor(this->loop, { 1200 });
    for (const auto &connection : this->peer->connections) {
        EXPECT_FALSE(connection->closedByClient);
    }
}

// Guards against an idempotent request that waits until its deadline for a response that never
// comes.
TEST_F(GatewayRequestTest, sendsASlowSafeRequestAgain)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        const std::string received = std::exchange(connection.received, {});
        if (++requests != 2) {
            connection.write(withRequestId(received, "HTTP/1.1 200 OK\r\n")
                             + "content-length: 0\r\n\r\n");
        }
    });
    const auto first = this->request("GET", "/read/1");
    ASSERT_TRUE(this->waitForResponse(*first, "HTTP/1.1 200"));
    runFor(this->loop, { 20 });
    const auto client = this->request("GET", "/read/1");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200", { 1500 }));
}
