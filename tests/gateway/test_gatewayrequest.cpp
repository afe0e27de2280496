#include "gateway/gatewayrequest.h"

#include "process/textdelta.h"
#include "process/textpack.h"
#include "support/fakecodec.h"
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

/** Codec of the test: each document decodes to the same configuration with three routes. */
class TestCodec : public FakeCodec
{
public:
    TestCodec()
        : FakeCodec({ "x-id", "x-deadline", "x-expect", "x-upstream", "x-load", "x-not-executed",
                      "x-key", "x-base", "x-handover" })
    { }

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

// Returns @p head with the request id of the received request, which a response must repeat.
std::string withRequestId(const std::string &received, const std::string &head)
{
    const std::size_t at = received.find("x-id: ");
    return head + "x-id: " + received.substr(at + 6, received.find('\r', at) - at - 6) + "\r\n";
}

/** A gateway and one upstream of each service, in one event loop. */
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

    /** Starts the upstream with @p script and publishes a table in which it owns all keys. */
    void serve(FakePeer::Script script)
    {
        this->peer = std::make_unique<FakePeer>(this->loop, std::move(script));
        this->publish(RangePhase::Owned);
    }

    /** Sends the gateway a table in which all keys of the keyed upstream are in @p phase. */
    void publish(RangePhase phase) { this->publish(phase, UpstreamPhase::Ready, this->loop.now()); }

    /** As above; the leader made the table, with the upstreams in @p upstreamPhase, at @p madeAt.
     */
    void publish(RangePhase phase, UpstreamPhase upstreamPhase, TimePoint madeAt)
    {
        GatewayUpdate update;
        update.version = 1;
        update.document = packText("1");
        update.tableTag = ++this->tag;
        RoutingTable table;
        for (const std::string &service : { keyedService, plainService }) {
            const SiteUpstream upstream { { "i-" + service, this->born },
                                          service,
                                          { "127.0.0.1", this->peer->port },
                                          "a",
                                          6,
                                          upstreamPhase };
            table.upstreams.push_back({ upstream, false, false });
        }
        table.ranges[keyedService] = { { { 0, lastKey }, "i-" + keyedService, phase } };
        update.change = encode(changeBetween({}, table));
        this->core.update(update, madeAt);
    }

    std::unique_ptr<RawClient> request(const std::string &method, const std::string &path,
                                       const std::string &deadline = "2000",
                                       const std::string &id = "r1")
    {
        auto client = std::make_unique<RawClient>(this->callers.port());
        client->write(method + " " + path + " HTTP/1.1\r\nhost: maps.example\r\n" + "x-id: " + id
                      + "\r\nx-deadline: " + deadline
                      + "\r\nx-key: 7\r\ncontent-length: 0\r\n\r\n");
        return client;
    }

    bool waitForResponse(RawClient &client, const std::string &text,
                         Milliseconds maxWait = testTimeout)
    {
        return waitUntil(
                this->loop, [&] { return client.received().find(text) != std::string::npos; },
                maxWait);
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
    std::int64_t born = 1; // of the upstreams in the next table
};

} // namespace

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
        if (this->peer->connections.size() < 3) {
            return;
        }
        for (const auto &connection : this->peer->connections) {
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

// Guards against a 200 response with an empty or short body that is framed as complete, after the
// upstream stopped at any byte of its response and closed or reset the connection.
TEST_F(GatewayRequestTest, neverForwardsAPrefixOfAResponse)
{
    const std::string head = "HTTP/1.1 200 OK\r\nx-id: r1\r\n";
    struct Case
    {
        std::string response;
        bool hasEnd; // other than that of the connection
    };
    std::string text; // what the upstream sends
    bool reset = false;
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        ++requests;
        connection.write(text);
        reset ? connection.reset() : connection.disconnect();
    });
    for (const Case &sent :
         { Case { head + "content-length: 12\r\n\r\nhello, world", true },
           Case { head + "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n2\r\n, \r\n0\r\n\r\n",
                  true },
           Case { head + "\r\nhello", false } }) {
        const std::size_t end = sent.response.size() + (sent.hasEnd ? 0 : 1);
        for (std::size_t length = 0; length < end; ++length) {
            text = sent.response.substr(0, length);
            for (const std::string call : { "POST /order/", "POST /order/reset/", "GET /read/" }) {
                // A new life of the upstream is not suspected of failing, and its paths are new.
                ++this->born;
                this->publish(RangePhase::Owned);
                reset = call == "POST /order/reset/";
                const int earlier = requests;
                const std::size_t space = call.find(' ');
                const auto client = this->request(
                        call.substr(0, space), call.substr(space + 1) + std::to_string(this->born));
                ASSERT_TRUE(this->waitForResponse(*client, "\r\n\r\n")) << call << text;
                EXPECT_EQ(client->received().find("HTTP/1.1 2"), std::string::npos) << call << text;
                EXPECT_EQ(client->received().find("HTTP/1.1 502"), 0U) << call << text;
                EXPECT_GT(requests, earlier) << call << text;
            }
        }
    }
}

// Guards against a late second response that is taken for the response to the next request.
TEST_F(GatewayRequestTest, neverForwardsTheResponseToAnotherRequest)
{
    this->serve([](FakePeer::Connection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 2\r\n\r\nno");
    });
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502"));
    EXPECT_EQ(client->received().find("no"), std::string::npos);
}

// Guards against a client that is told "not run" while the upstream is running its request: the
// refusal of an earlier request, without an id, arrived once more on the connection.
TEST_F(GatewayRequestTest, believesNoRefusalWithoutTheIdOfTheRequest)
{
    for (const std::string refusal :
         { "503 Full\r\nx-not-executed: 1", "421 Misdirected", "421 Misdirected\r\nx-upstream: i-2",
           "404 None", "400 Bad", "400 Bad\r\nx-not-executed: 1" }) {
        ++this->born;
        int requests = 0;
        this->serve([&](FakePeer::Connection &connection) {
            ++requests;
            connection.received.clear();
            connection.write("HTTP/1.1 " + refusal + "\r\ncontent-length: 0\r\n\r\n");
        });
        const auto client = this->request("POST", "/order/" + std::to_string(this->born));
        EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502", { 2000 })) << refusal;
        runFor(this->loop, { 100 });
        EXPECT_EQ(requests, 1) << refusal;
    }
}

// As above, for a request without an id: there is nothing that a refusal could repeat.
TEST_F(GatewayRequestTest, believesNoRefusalOfARequestWithoutAnId)
{
    for (const std::string refusal : { "503 Full\r\nx-not-executed: 1", "421 Misdirected",
                                       "400 Bad\r\nx-not-executed: 1", "400 Bad" }) {
        ++this->born;
        this->serve([&](FakePeer::Connection &connection) {
            connection.received.clear();
            connection.write("HTTP/1.1 " + refusal + "\r\ncontent-length: 0\r\n\r\n");
        });
        RawClient client(this->callers.port());
        client.write("POST /order/" + std::to_string(this->born)
                     + " HTTP/1.1\r\nhost: maps.example\r\nx-key: 7\r\ncontent-length: 0\r\n\r\n");
        const std::string expected = refusal == "400 Bad" ? "HTTP/1.1 400" : "HTTP/1.1 502";
        EXPECT_TRUE(this->waitForResponse(client, expected, { 2000 })) << refusal;
    }
}

// Guards against taking the second copy of a refusal for the response to the repetition of the
// request, which has the same id, or for the response to a request that ran in between.
TEST_F(GatewayRequestTest, sendsNoRequestOnAConnectionThatCarriedARefusal)
{
    for (const std::string refusal :
         { "503 Full\r\nx-not-executed: 1\r\n", "421 Misdirected\r\n" }) {
        ++this->born;
        int runs = 0;
        std::map<int, std::string> refused; // by connection
        this->serve([&](FakePeer::Connection &connection) {
            const std::string received = std::exchange(connection.received, {});
            std::string &earlier = refused[connection.number];
            if (!earlier.empty()) {
                // The upstream runs the request, and sends the refusal once more.
                ++runs;
                connection.write(earlier);
            } else if (refused.size() == 1) {
                earlier = withRequestId(received, "HTTP/1.1 " + refusal)
                          + "content-length: 0\r\n\r\n";
                connection.write(earlier);
            } else {
                ++runs;
                connection.write(withRequestId(received, "HTTP/1.1 200 OK\r\n")
                                 + "content-length: 0\r\n\r\n");
            }
        });
        const auto client = this->request("POST", "/order/" + std::to_string(this->born));
        EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200", { 2000 })) << refusal;
        EXPECT_EQ(runs, 1) << refusal;
    }
}

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

// Guards against a request that ends only with its connection while an upstream sends a body
// without end, slowly enough to stay below every bound of memory.
TEST_F(GatewayRequestTest, endsAResponseWithoutEndAtTheDeadline)
{
    this->serve([](FakePeer::Connection &connection) {
        connection.write(withRequestId(connection.received, "HTTP/1.1 200 OK\r\n")
                         + "transfer-encoding: chunked\r\n\r\n7fffffff\r\n");
    });
    const EventLoop::Timer timer = this->loop.callEvery({ 5 }, [this] {
        for (const auto &connection : this->peer->connections) {
            connection->write("a");
        }
    });
    const auto client = this->request("POST", "/order/1", "600");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 50", { 1000 }));
    EXPECT_TRUE(
            waitUntil(this->loop, [&] { return this->peer->connections.front()->closedByClient; }));
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

TEST_F(GatewayRequestTest, respondsWith404WithoutARoute)
{
    this->serve([](FakePeer::Connection &) {});
    const auto client = this->request("GET", "/none/1");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 404"));
}
