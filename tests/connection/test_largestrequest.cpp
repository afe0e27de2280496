/**
 * One request that is larger than the bound of a listener's memory: it is served while little else
 * is held, and refused as not run when it is not, or when others need the memory.
 */
#include "connection/httpserver.h"

#include "support/loopwait.h"
#include "support/rawclient.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr std::size_t megabyte = std::size_t(1024) * 1024;
constexpr std::size_t bodyBytes = 3 * megabyte;
constexpr std::size_t otherBytes = 600UL * 1024; // more than a small request

class LargestRequest : public testing::Test
{
protected:
    void SetUp() override
    {
        HttpServerLimits limits { bodyBytes, 1000 };
        limits.maxRequestBytes = 2 * megabyte;
        limits.maxLargestRequestBytes = 4 * megabyte;
        limits.maxMemoryWait = { 300 };
        limits.shortMemoryTimeout = { 100 };
        this->server = std::make_unique<HttpServer>(
                this->loop, limits, [](const std::shared_ptr<HttpExchange> &exchange) {
                    exchange->answer(200, {}, std::to_string(exchange->body().size()));
                });
        this->server->setLargestRequestHandlers(
                { [this] { return this->mayHold; }, [this] { ++this->ended; } });
        ASSERT_EQ(this->server->listen({ "127.0.0.1", 0 }), "");
    }

    static std::string head(std::size_t size)
    {
        return "POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: " + std::to_string(size)
               + "\r\n\r\n";
    }

    /** Writes @p size bytes as the server reads them; gives up when the connection is closed. */
    void writeBody(RawClient &client, std::size_t size)
    {
        std::size_t left = size;
        waitUntil(this->loop, [&] {
            left -= client.writeSome(std::string(std::min<std::size_t>(left, 65536), 'x'));
            return left == 0 || client.isClosedByServer();
        });
    }

    bool receives(RawClient &client, const std::string &text)
    {
        return waitUntil(this->loop,
                         [&] { return client.received().find(text) != std::string::npos; });
    }

    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    bool mayHold = true;
    int ended = 0;
};

} // namespace

// Guards against a request within the limits that is refused for ever though nothing else is held,
// and against a bound that stays lowered after it.
TEST_F(LargestRequest, isServedInCalm)
{
    for (int i = 1; i <= 2; ++i) {
        RawClient client(this->server->port());
        client.write(head(bodyBytes));
        this->writeBody(client, bodyBytes);
        EXPECT_TRUE(this->receives(client, std::to_string(bodyBytes)));
        EXPECT_TRUE(waitUntil(this->loop, [&] { return this->ended == i; }));
    }
    EXPECT_EQ(this->server->largestRequestCount(), 2U);
    EXPECT_EQ(this->server->heldRequestBytes(), 0U);
}

// Guards against a large request that is read although responses take the rest of the memory.
TEST_F(LargestRequest, isRefusedAsNotRunWithoutRoomForResponses)
{
    this->mayHold = false;
    RawClient client(this->server->port());
    client.write(head(bodyBytes));
    this->writeBody(client, bodyBytes);
    EXPECT_TRUE(this->receives(client, " 503 "));
    EXPECT_NE(client.received().find("cassiaroad-outcome: not-run"), std::string::npos);
    EXPECT_EQ(this->server->largestRequestCount(), 0U);
}

// Guards against a client that stops short of the end of such a request and keeps the memory from
// ordinary requests.
TEST_F(LargestRequest, givesWayToOthersThatNeedItsMemory)
{
    RawClient stalled(this->server->port());
    stalled.write(head(bodyBytes));
    this->writeBody(stalled, bodyBytes - 1);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->server->largestRequestCount() == 1; }));
    bool isServed = false;
    for (int i = 0; i < 20 && !isServed; ++i) {
        RawClient ordinary(this->server->port());
        ordinary.write(head(otherBytes));
        this->writeBody(ordinary, otherBytes);
        isServed = this->receives(ordinary, "\r\n\r\n")
                   && ordinary.received().find(" 200 ") != std::string::npos;
    }
    EXPECT_TRUE(isServed);
    EXPECT_EQ(this->ended, 1);
    EXPECT_TRUE(this->receives(stalled, " 503 "));
}

// Guards against many connections, which are not counted, beside such a request.
TEST_F(LargestRequest, isRefusedWhenManyConnectionsOpen)
{
    RawClient stalled(this->server->port());
    stalled.write(head(bodyBytes));
    this->writeBody(stalled, bodyBytes - 1);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->server->largestRequestCount() == 1; }));
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 510; ++i) {
        clients.push_back(std::make_unique<RawClient>(this->server->port()));
    }
    EXPECT_TRUE(this->receives(stalled, " 503 "));
    EXPECT_EQ(this->ended, 1);
}
