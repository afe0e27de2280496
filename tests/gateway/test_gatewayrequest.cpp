#include "gatewayrequesttest.h"

#include <algorithm>

using namespace cassiaroad;

TEST_F(GatewayRequestTest, forwardsTheUpstreamsResponse)
{
    std::string received;
    this->serve([&](FakePeer::Connection &connection) {
        received = connection.received;
        connection.write(withRequestId(received, "HTTP/1.1 200 OK\r\nx-seal: s\r\n")
                         + "content-length: 2\r\n\r\nhi");
    });
    const auto client = this->request("GET", "/read/1?x=2");
    ASSERT_TRUE(this->waitForResponse(*client, "\r\n\r\nhi"));
    EXPECT_NE(client->received().find("HTTP/1.1 200"), std::string::npos);
    EXPECT_NE(client->received().find("x-seal: s"), std::string::npos);
    EXPECT_EQ(received.find("GET /read/1?x=2 HTTP/1.1\r\n"), 0U);
    EXPECT_NE(received.find("x-expect: i-orders"), std::string::npos);
    EXPECT_NE(received.find("host: maps.example"), std::string::npos);
}

// Guards against a 503 response (not run) to a request that was sent: the timer of its wait for an
// owner was still running after its key had been assigned.
TEST_F(GatewayRequestTest, cancelsTheOwnerWaitOnceTheRequestIsSent)
{
    this->serve([](FakePeer::Connection &) {});
    this->publish(RangePhase::Releasing);
    const auto client = this->request("POST", "/order/1");
    runFor(this->loop, { 100 });
    this->publish(RangePhase::Owned);
    ASSERT_TRUE(waitUntil(this->loop, [&] {
        return !this->peer->connections.empty() && !this->peer->connections[0]->received.empty();
    }));
    runFor(this->loop, { 1000 });
    EXPECT_EQ(client->received(), "");
    this->peer->connections[0]->write(
            withRequestId(this->peer->connections[0]->received, "HTTP/1.1 200 OK\r\n")
            + "content-length: 0\r\n\r\n");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200"));
}

// Guards against requests that wait for an owner of their key until they time out.
TEST_F(GatewayRequestTest, refusesARequestWhoseKeyStaysWithoutAnOwner)
{
    this->serve([](FakePeer::Connection &) {});
    this->publish(RangePhase::Pending);
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503", { 1200 }));
    EXPECT_NE(client->received().find("retry-after: 0."), std::string::npos);
    EXPECT_TRUE(this->peer->connections.empty());
}

// Guards against reporting "not run" for a lookup that an upstream may have run before its key lost
// its owner (soak, seed 12).
TEST_F(GatewayRequestTest, reportsAnUnknownOutcomeOfALookupThatMayHaveRun)
{
    this->serve([this](FakePeer::Connection &connection) {
        this->publish(RangePhase::Pending);
        connection.disconnect();
    });
    const auto client = this->request("GET", "/read/1");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502"));
}

// Guards against running a request twice that is not idempotent.
TEST_F(GatewayRequestTest, sendsAnUnsafeRequestOnceWhenItsConnectionBreaks)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        ++requests;
        connection.disconnect();
    });
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502"));
    runFor(this->loop, { 100 });
    EXPECT_EQ(requests, 1);
}

// Guards against a 502 response, which promises nothing, to a request that reached no upstream: its
// owner was full and reset new connections.
TEST_F(GatewayRequestTest, sendsAnUnsafeRequestOnceItsOwnerTakesConnections)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        ++requests;
        connection.write(withRequestId(connection.received, "HTTP/1.1 200 OK\r\n")
                         + "content-length: 0\r\n\r\n");
    });
    this->peer->refusals = 4;
    const auto client = this->request("POST", "/order/1");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200"));
    EXPECT_EQ(requests, 1);
}

// As above, with an owner that stays full: the client may come back.
TEST_F(GatewayRequestTest, refusesAnUnsafeRequestThatReachedNoUpstream)
{
    this->serve([](FakePeer::Connection &) {});
    this->peer->refusals = 1000;
    const auto client = this->request("POST", "/order/1", "900");
    ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503"));
    EXPECT_NE(client->received().find("retry-after: 0."), std::string::npos);
}

// Guards against an owner that is full and is taken for silent, so that the requests for its keys
// are refused although it answers those that it takes.
TEST_F(GatewayRequestTest, keepsSendingToAnOwnerThatHasResetConnections)
{
    this->serve([](FakePeer::Connection &connection) {
        connection.write(withRequestId(connection.received, "HTTP/1.1 200 OK\r\n")
                         + "content-length: 0\r\n\r\n");
    });
    this->peer->refusals = 6;
    const auto first = this->request("POST", "/order/1", "150");
    ASSERT_TRUE(this->waitForResponse(*first, "HTTP/1.1 503"));
    this->peer->refusals = 0;
    const auto second = this->request("POST", "/order/2", "1000", "r2");
    EXPECT_TRUE(this->waitForResponse(*second, "HTTP/1.1 200"));
}

TEST_F(GatewayRequestTest, sendsASafeRequestAgainWhenItsConnectionBreaks)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        if (++requests == 1) {
            connection.disconnect();
            return;
        }
        connection.write(withRequestId(connection.received, "HTTP/1.1 200 OK\r\n")
                         + "content-length: 0\r\n\r\n");
    });
    const auto client = this->request("GET", "/read/1");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200"));
    EXPECT_EQ(requests, 2);
}

// Guards against refusing a request that the upstream did not run, but would run when it is
// repeated.
TEST_F(GatewayRequestTest, sendsARequestAgainThatTheUpstreamDidNotRun)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        const std::string received = std::exchange(connection.received, {});
        const std::string status = ++requests == 1 ? "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\n"
                                                   : "HTTP/1.1 200 OK\r\n";
        connection.write(withRequestId(received, status) + "content-length: 0\r\n\r\n");
    });
    const auto client = this->request("POST", "/order/1");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200"));
}

// Guards against processing requests of clients that have disconnected.
TEST_F(GatewayRequestTest, cancelsTheRequestOfAClientThatDisconnects)
{
    this->serve([](FakePeer::Connection &) {});
    auto client = this->request("GET", "/read/1");
    ASSERT_TRUE(waitUntil(this->loop, [&] {
        return !this->peer->connections.empty() && !this->peer->connections[0]->received.empty();
    }));
    client.reset();
    EXPECT_TRUE(waitUntil(this->loop, [&] { return this->peer->connections[0]->closedByClient; },
                          { 500 }));
}

// Guards against clients that wait for a response beyond the deadline that they set.
TEST_F(GatewayRequestTest, respondsAtTheDeadline)
{
    this->serve([](FakePeer::Connection &) {});
    const auto client = this->request("POST", "/order/1", "300");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 504", { 450 }));
}

// Full upstreams that transfer their keys. Guards against sending a request that has waited for
// capacity to an upstream that has shut down or lost the key in the meantime.
TEST_F(GatewayRequestTest, sendsNoWaitingRequestToAPreviousOwner)
{
    int received = 0;
    this->serve([&](FakePeer::Connection &connection) {
        received += connection.received.empty() ? 0 : 1;
    });
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 40; ++i) {
        clients.push_back(this->request("POST", "/order/1"));
    }
    runFor(this->loop, { 200 });
    const int sent = received;
    ASSERT_LT(sent, 40);
    this->publish(RangePhase::Releasing);
    for (const auto &connection : this->peer->connections) {
        connection->write(withRequestId(connection->received, "HTTP/1.1 200 OK\r\n")
                          + "content-length: 0\r\n\r\n");
    }
    runFor(this->loop, { 200 });
    EXPECT_EQ(received, sent);
}

// Guards against a gateway that keeps an outdated configuration because it cannot apply a delta.
TEST_F(GatewayRequestTest, requestsTheFullDocumentWhenADeltaDoesNotApply)
{
    this->serve([](FakePeer::Connection &) {});
    EXPECT_EQ(this->core.takeReport().version, 1U);
    GatewayUpdate update;
    update.version = 9;
    update.documentBase = 7;
    update.document = textDelta("1", "2");
    this->core.update(update, this->loop.now());
    EXPECT_EQ(this->core.takeReport().version, 0U);
}

TEST_F(GatewayRequestTest, respondsWith404WithoutARoute)
{
    this->serve([](FakePeer::Connection &) {});
    const auto client = this->request("GET", "/none/1");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 404"));
}

// Guards against telling a client that a route does not exist, by a configuration that may have
// been replaced since the leader confirmed it.
TEST_F(GatewayRequestTest, respondsWith503WithoutARouteInAnOldConfiguration)
{
    constexpr Milliseconds unconfirmedTime { 2100 };
    this->serve([](FakePeer::Connection &) {});
    runFor(this->loop, unconfirmedTime);
    const auto client = this->request("GET", "/none/1");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503"));
    EXPECT_NE(client->received().find("retry-after"), std::string::npos);
}
