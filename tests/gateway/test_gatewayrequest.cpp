#include "gateway/gatewayrequest.h"

#include "process/textdelta.h"
#include "process/textpack.h"
#include "support/fakepeer.h"
#include "support/loopwait.h"
#include "support/rawclient.h"
#include "version/routingchange.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace cassiaroad;

namespace {

const std::string keyedService = "orders";
const std::string plainService = "store";

/** Reads no documents: the test hands over configurations by name. */
class TestCodec : public ExternalCodec
{
public:
    const ExternalHeaders &headers() const override
    {
        static const ExternalHeaders names { "x-id",   "x-deadline",     "x-expect", "x-upstream",
                                             "x-load", "x-not-executed", "x-key",    "x-base" };
        return names;
    }
    std::string_view readinessPath() const override { return "/ready"; }
    ControlCall decodeCall(const ReceivedCall & /*call*/) const override { return UnknownCall {}; }
    std::string encodeHeartbeatResponse(const HeartbeatResponse & /*grant*/) const override
    {
        return {};
    }
    std::variant<SiteConfiguration, ConfigurationError> decodeConfiguration(
            std::string_view /*document*/) const override
    {
        SiteConfiguration configuration;
        configuration.version = 1;
        configuration.services[keyedService].keyed = true;
        configuration.services[plainService].keyed = false;
        addRoute(configuration, "read", "/read/", RouteKind::Safe, keyedService);
        addRoute(configuration, "order", "/order/", RouteKind::Unsafe, keyedService);
        addRoute(configuration, "file", "/file/", RouteKind::Upload, plainService);
        return configuration;
    }

private:
    static void addRoute(SiteConfiguration &configuration, const std::string &name,
                         const std::string &prefix, RouteKind kind, const std::string &service)
    {
        SiteRoute &route = configuration.routes[name];
        route.host = "maps.example";
        route.pathPrefix = prefix;
        route.kind = kind;
        route.timeout = { 3000 };
        route.attempts = 2;
        route.services = { { service, 1.0 } };
    }
};

std::string withId(const std::string &received, const std::string &head)
{
    const std::size_t at = received.find("x-id: ");
    return head + "x-id: " + received.substr(at + 6, received.find('\r', at) - at - 6) + "\r\n";
}

/** A gateway with one upstream of each service, in one loop. */
class GatewayRequestTest : public testing::Test
{
protected:
    GatewayRequestTest()
        : settings(testSettings())
        , log("test")
        , core(loop, settings, codec, metrics, log)
        , callers(loop, {}, [this](std::shared_ptr<HttpExchange> exchange) {
            GatewayRequest::begin(this->core, std::move(exchange));
        })
    {
        this->callers.listen({ "127.0.0.1", 0 });
    }

    static SiteSettings testSettings()
    {
        SiteSettings settings;
        settings.host = "front-1";
        settings.zone = "a";
        settings.regions = { { "a", "r" } };
        return settings;
    }

    void serve(FakePeer::Script script)
    {
        this->peer = std::make_unique<FakePeer>(this->loop, std::move(script));
        this->publish(RangePhase::Owned);
    }

    /** Sends the gateway a table in which the keyed upstream has all keys in @p phase. */
    void publish(RangePhase phase)
    {
        GatewayUpdate update;
        update.version = 1;
        update.document = packText("1");
        update.tableTag = ++this->tag;
        RoutingTable table;
        for (const std::string &service : { keyedService, plainService }) {
            const SiteUpstream upstream {
                { "i-" + service, 1 }, service, { "127.0.0.1", this->peer->port }, "a", 6, {}
            };
            table.upstreams.push_back({ upstream, false, false });
        }
        table.ranges[keyedService] = { { { 0, lastKey }, "i-" + keyedService, phase } };
        update.change = encode(changeBetween({}, table));
        this->core.update(update);
    }

    std::unique_ptr<RawClient> request(const std::string &method, const std::string &path,
                                       const std::string &deadline = "2000")
    {
        auto client = std::make_unique<RawClient>(this->callers.port());
        client->write(method + " " + path + " HTTP/1.1\r\nhost: maps.example\r\nx-id: r1\r\n"
                      + "x-deadline: " + deadline + "\r\nx-key: 7\r\ncontent-length: 0\r\n\r\n");
        return client;
    }

    bool answered(RawClient &client, const std::string &text, Milliseconds bound = testTimeout)
    {
        return waitUntil(
                this->loop, [&] { return client.received().find(text) != std::string::npos; },
                bound);
    }

    EventLoop loop;
    SiteSettings settings;
    TestCodec codec;
    Metrics metrics;
    EventLog log;
    GatewayCore core;
    HttpServer callers;
    std::unique_ptr<FakePeer> peer;
    std::uint64_t tag = 0;
};

} // namespace

TEST_F(GatewayRequestTest, passesTheUpstreamsAnswerOn)
{
    std::string received;
    this->serve([&](FakePeer::Connection &connection) {
        received = connection.received;
        connection.write(withId(received, "HTTP/1.1 200 OK\r\nx-seal: s\r\n")
                         + "content-length: 2\r\n\r\nhi");
    });
    const auto client = this->request("GET", "/read/1?x=2");
    ASSERT_TRUE(this->answered(*client, "\r\n\r\nhi"));
    EXPECT_NE(client->received().find("HTTP/1.1 200"), std::string::npos);
    EXPECT_NE(client->received().find("x-seal: s"), std::string::npos);
    EXPECT_EQ(received.find("GET /read/1?x=2 HTTP/1.1\r\n"), 0U);
    EXPECT_NE(received.find("x-expect: i-orders"), std::string::npos);
    EXPECT_NE(received.find("host: maps.example"), std::string::npos);
}

// Guards against an answer 503 (not run) to a request that was sent after its key got an owner:
// the timer of the wait for the owner was still running.
TEST_F(GatewayRequestTest, forgetsTheWaitForAnOwnerOnceTheRequestIsSent)
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
            withId(this->peer->connections[0]->received, "HTTP/1.1 200 OK\r\n")
            + "content-length: 0\r\n\r\n");
    EXPECT_TRUE(this->answered(*client, "HTTP/1.1 200"));
}

// Guards against a key without an owner that holds its requests until they time out.
TEST_F(GatewayRequestTest, refusesAKeyThatStaysWithoutAnOwner)
{
    this->serve([](FakePeer::Connection &) {});
    this->publish(RangePhase::Pending);
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(this->answered(*client, "HTTP/1.1 503", { 1200 }));
    EXPECT_NE(client->received().find("retry-after: 0."), std::string::npos);
    EXPECT_TRUE(this->peer->connections.empty());
}

// Guards against the promise "not run" for a lookup that an upstream may have run before its key
// lost its owner (soak, seed 12).
TEST_F(GatewayRequestTest, promisesNothingForALookupThatMayHaveRun)
{
    this->serve([this](FakePeer::Connection &connection) {
        this->publish(RangePhase::Pending);
        connection.disconnect();
    });
    const auto client = this->request("GET", "/read/1");
    EXPECT_TRUE(this->answered(*client, "HTTP/1.1 502"));
}

// Guards against a request that is not idempotent and runs twice.
TEST_F(GatewayRequestTest, sendsAnUnsafeRequestOnceWhenItsConnectionBreaks)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        ++requests;
        connection.disconnect();
    });
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(this->answered(*client, "HTTP/1.1 502"));
    runFor(this->loop, { 100 });
    EXPECT_EQ(requests, 1);
}

TEST_F(GatewayRequestTest, sendsASafeRequestAgainWhenItsConnectionBreaks)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        if (++requests == 1) {
            connection.disconnect();
            return;
        }
        connection.write(withId(connection.received, "HTTP/1.1 200 OK\r\n")
                         + "content-length: 0\r\n\r\n");
    });
    const auto client = this->request("GET", "/read/1");
    EXPECT_TRUE(this->answered(*client, "HTTP/1.1 200"));
    EXPECT_EQ(requests, 2);
}

// Guards against refusing what the upstream did not run and would run now.
TEST_F(GatewayRequestTest, sendsARequestAgainThatTheUpstreamDidNotRun)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        const std::string received = std::exchange(connection.received, {});
        const std::string status = ++requests == 1 ? "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\n"
                                                   : "HTTP/1.1 200 OK\r\n";
        connection.write(withId(received, status) + "content-length: 0\r\n\r\n");
    });
    const auto client = this->request("POST", "/order/1");
    EXPECT_TRUE(this->answered(*client, "HTTP/1.1 200"));
}

// Guards against a late second answer that is taken for that of the next request.
TEST_F(GatewayRequestTest, neverPassesOnTheAnswerOfAnotherRequest)
{
    this->serve([](FakePeer::Connection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 2\r\n\r\nno");
    });
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(this->answered(*client, "HTTP/1.1 502"));
    EXPECT_EQ(client->received().find("no"), std::string::npos);
}

// Guards against an address that a new upstream has taken over: its 421 must end the use of the old
// one, not be repeated until the deadline.
TEST_F(GatewayRequestTest, stopsUsingAnUpstreamWhoseAddressAnotherOneHas)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        ++requests;
        connection.write(withId(std::exchange(connection.received, {}),
                                "HTTP/1.1 421 Misdirected\r\nx-upstream: i-new\r\n")
                         + "content-length: 0\r\n\r\n");
    });
    const auto client = this->request("GET", "/read/1");
    ASSERT_TRUE(this->answered(*client, "HTTP/1.1 503"));
    EXPECT_EQ(requests, 1);
}

// Guards against work for a client that has left.
TEST_F(GatewayRequestTest, cancelsTheRequestOfAClientThatLeaves)
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

// Guards against a client that is kept waiting past the deadline it named.
TEST_F(GatewayRequestTest, answersAtTheDeadline)
{
    this->serve([](FakePeer::Connection &) {});
    const auto client = this->request("POST", "/order/1", "300");
    EXPECT_TRUE(this->answered(*client, "HTTP/1.1 504", { 450 }));
}

// Guards against breaking a request off at which the upstream is at work and refusing it, which a
// stopping gateway did to slow lookups.
TEST_F(GatewayRequestTest, leavesASlowRequestAloneWhileTheGatewayStops)
{
    this->serve([](FakePeer::Connection &) {});
    const auto client = this->request("GET", "/read/1");
    runFor(this->loop, { 100 });
    this->core.stop({ 6000 });
    runFor(this->loop, { 1000 });
    ASSERT_EQ(this->peer->connections.size(), 1U);
    EXPECT_FALSE(this->peer->connections[0]->closedByClient);
    EXPECT_EQ(client->received(), "");
}

// Guards against requests on kept connections that arrive while a gateway stops, are sent to an
// upstream, and are cut when the process ends.
TEST_F(GatewayRequestTest, refusesRequestsThatArriveLateWhileTheGatewayStops)
{
    this->serve([](FakePeer::Connection &) {});
    this->core.stop({ 200 });
    this->callers.closeAfterNextResponse();
    const auto early = this->request("POST", "/order/1");
    runFor(this->loop, { 150 });
    EXPECT_EQ(early->received(), "");
    const auto late = this->request("POST", "/order/1");
    ASSERT_TRUE(this->answered(*late, "HTTP/1.1 503"));
    EXPECT_NE(late->received().find("Connection: close"), std::string::npos);
    EXPECT_EQ(this->peer->connections.size(), 1U);
}

// Load: full upstreams that give their keys away. Guards against requests that waited for room
// being sent to an upstream that has left or has lost the key in the meantime.
TEST_F(GatewayRequestTest, sendsNothingFromTheQueueToAFormerOwner)
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
        connection->write(withId(connection->received, "HTTP/1.1 200 OK\r\n")
                          + "content-length: 0\r\n\r\n");
    }
    runFor(this->loop, { 200 });
    EXPECT_EQ(received, sent);
}

// Load: full upstreams while a gateway stops. Guards against requests that wait in the gateway
// until its process ends and get no answer; those at an upstream are left alone.
TEST_F(GatewayRequestTest, refusesWaitingRequestsBeforeTheGatewayEnds)
{
    this->serve([](FakePeer::Connection &) {});
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 40; ++i) {
        clients.push_back(this->request("POST", "/order/1"));
    }
    runFor(this->loop, { 200 });
    this->core.stop({ 6000 });
    this->core.refuseWaitingRequests();
    runFor(this->loop, { 200 });
    const auto refused = static_cast<std::size_t>(
            std::count_if(clients.begin(), clients.end(), [](const auto &client) {
                return client->received().find("HTTP/1.1 503") != std::string::npos;
            }));
    EXPECT_GT(refused, 0U);
    EXPECT_GT(this->peer->connections.size(), 0U);
    EXPECT_EQ(refused + this->peer->connections.size(), clients.size());
}

// Guards against a gateway that stays with an old configuration because it cannot use a change.
TEST_F(GatewayRequestTest, asksForTheWholeDocumentWhenADeltaDoesNotFit)
{
    this->serve([](FakePeer::Connection &) {});
    EXPECT_EQ(this->core.takeReport().version, 1U);
    GatewayUpdate update;
    update.version = 9;
    update.documentBase = 7;
    update.document = textDelta("1", "2");
    this->core.update(update);
    EXPECT_EQ(this->core.takeReport().version, 0U);
}

// Guards against breaking a slow request off when there is no room to send it again.
TEST_F(GatewayRequestTest, leavesASlowRequestAloneWhenTheUpstreamIsBusy)
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

// Guards against an idempotent request that waits until its deadline for a lost answer.
TEST_F(GatewayRequestTest, sendsASlowSafeRequestAgain)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        const std::string received = std::exchange(connection.received, {});
        if (++requests != 2) {
            connection.write(withId(received, "HTTP/1.1 200 OK\r\n") + "content-length: 0\r\n\r\n");
        }
    });
    const auto first = this->request("GET", "/read/1");
    ASSERT_TRUE(this->answered(*first, "HTTP/1.1 200"));
    runFor(this->loop, { 20 });
    const auto client = this->request("GET", "/read/1");
    EXPECT_TRUE(this->answered(*client, "HTTP/1.1 200", { 1500 }));
}

TEST_F(GatewayRequestTest, answers404OnlyWithoutARoute)
{
    this->serve([](FakePeer::Connection &) {});
    const auto client = this->request("GET", "/none/1");
    EXPECT_TRUE(this->answered(*client, "HTTP/1.1 404"));
}
