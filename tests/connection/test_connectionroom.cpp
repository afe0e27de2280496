#include "connection/connectionroom.h"
#include "connection/httpserver.h"

#include "support/loopwait.h"
#include "support/rawclient.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

class ConnectionRoomTest : public testing::Test
{
protected:
    /** Starts a server with room for @p maxConnections, one of which is kept free. */
    void start(std::uint32_t maxConnections, std::uint32_t maxKept = 0)
    {
        HttpServerLimits limits { 1024, maxConnections };
        limits.reservedConnections = 1;
        limits.maxKeptConnections = maxKept;
        this->server = std::make_unique<HttpServer>(
                this->loop, limits, [this](std::shared_ptr<HttpExchange> exchange) {
                    if (this->answersAtOnce) {
                        exchange->answer(200, {}, "echo:");
                    } else {
                        this->open.push_back(std::move(exchange));
                    }
                });
        ASSERT_EQ(this->server->listen({ "127.0.0.1", 0 }), "");
    }

    bool receives(RawClient &client, const std::string &text)
    {
        return waitUntil(this->loop,
                         [&] { return client.received().find(text) != std::string::npos; });
    }

    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    std::vector<std::shared_ptr<HttpExchange>> open;
    bool answersAtOnce = true;
};

} // namespace

// Guards against clients that open connections and leave them idle until nobody else can connect.
TEST_F(ConnectionRoomTest, closesTheLongestIdleConnectionsNearItsLimit)
{
    this->start(4);
    const std::string request = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n";
    RawClient used(this->server->port());
    used.write(request);
    ASSERT_TRUE(this->receives(used, "echo:"));
    RawClient unused(this->server->port());
    runFor(this->loop, { 1200 });
    RawClient third(this->server->port());
    RawClient fourth(this->server->port());
    EXPECT_TRUE(waitUntil(this->loop, [&] { return unused.isClosedByServer(); }));
    EXPECT_FALSE(used.isClosedByServer());
    RawClient fifth(this->server->port());
    EXPECT_TRUE(waitUntil(this->loop, [&] { return used.isClosedByServer(); }));
    fifth.write(request);
    EXPECT_TRUE(this->receives(fifth, "echo:"));
    EXPECT_FALSE(third.isClosedByServer());
    EXPECT_FALSE(fourth.isClosedByServer());
}

// Guards against clients that keep their connections and send a request now and then: together they
// hold all of them, and no other client is served (CONFIG). None of them is idle for long enough to
// be closed, so those beyond the bound learn with their response that they need a new connection.
TEST_F(ConnectionRoomTest, servesNewClientsThoughAllKeepTheirConnections)
{
    this->start(4, 2);
    const std::string request = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n";
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 12; ++i) {
        clients.push_back(std::make_unique<RawClient>(this->server->port()));
        RawClient &client = *clients.back();
        client.write(request);
        ASSERT_TRUE(this->receives(client, "echo:")) << i;
        const bool announced = client.received().find("onnection: close") != std::string::npos;
        EXPECT_EQ(announced, i >= 2) << i;
        EXPECT_TRUE(!announced || waitUntil(this->loop, [&] { return client.isClosedByServer(); }))
                << i;
    }
    EXPECT_EQ(this->server->rejectedConnectionCount(), 0U);
    EXPECT_EQ(this->server->connectionCount(), 2U);
    EXPECT_FALSE(clients[0]->isClosedByServer());
    EXPECT_FALSE(clients[1]->isClosedByServer());
}

// Guards against closing connections with requests for new ones, and against a full server that
// says that it has room.
TEST_F(ConnectionRoomTest, hasNoRoomOnceAllConnectionsHaveRequests)
{
    this->answersAtOnce = false;
    this->start(2);
    RawClient first(this->server->port());
    first.write("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->open.size() == 1; }));
    EXPECT_TRUE(this->server->hasRoom());
    RawClient second(this->server->port());
    runFor(this->loop, { 100 });
    EXPECT_FALSE(second.isClosedByServer());
    second.write("GET /b HTTP/1.1\r\nhost: x\r\n\r\n");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->open.size() == 2; }));
    EXPECT_FALSE(this->server->hasRoom());
    RawClient third(this->server->port());
    EXPECT_TRUE(waitUntil(this->loop, [&] { return third.isClosedByServer(); }));
    this->open[0]->answer(200, {}, "complete");
    EXPECT_TRUE(this->receives(first, "complete"));
    runFor(this->loop, { 50 });
    EXPECT_TRUE(this->server->hasRoom());
}

// Guards against closing connections of clients that are about to send a request, and used ones
// before those that were never used.
TEST(ConnectionRoom, choosesUnusedConnectionsFirstAndNoneThatWasIdleOnlyShortly)
{
    const TimePoint now { 100000 };
    const auto ago = [&](std::int64_t ms) { return now - Milliseconds { ms }; };
    const std::vector<IdleConnection> idle { { 0, true, ago(9000) }, { 1, false, ago(2000) },
                                             { 2, false, ago(900) }, { 3, false, ago(3000) },
                                             { 4, true, ago(1000) }, { 5, true, ago(5000) } };
    using Indexes = std::vector<std::size_t>;
    EXPECT_EQ(chooseConnectionsToClose(idle, 9, now), (Indexes { 3, 1, 0, 5 }));
    EXPECT_EQ(chooseConnectionsToClose(idle, 1, now), (Indexes { 3 }));
    EXPECT_EQ(excessConnections(9, 10, 2), 1U);
    EXPECT_EQ(excessConnections(8, 10, 2), 0U);
}
