/**
 * Clients in trouble that send requests without end, or many large ones at once. They must cost a
 * listener bounded memory, and small requests must pass beside them.
 */
#include "connection/httpserver.h"

#include "support/loopwait.h"
#include "support/rawclient.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace cassiaroad;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
constexpr std::size_t maxBody = megabyte;
constexpr std::size_t maxRequests = 4 * megabyte;
constexpr std::size_t bigResponse = 16 * megabyte; // more than the buffers of the system take
const std::string small = "POST /small HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc";
const std::string chunked = "POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";

/** Client that writes a beginning and then a piece again and again, as fast as it is read. */
class EndlessClient
{
public:
    EndlessClient(std::uint16_t port, std::string beginning, const std::string &piece)
        : client(port)
        , text(std::move(beginning))
    {
        while (this->pieces.size() < 64 * kilobyte) {
            this->pieces += piece;
        }
    }

    void write()
    {
        for (int i = 0; i < 16; ++i) {
            this->client.write(this->text);
            this->text = this->pieces;
        }
    }

    RawClient client;

private:
    std::string text; // to be written next
    std::string pieces;
};

class EndlessRequest : public testing::Test
{
protected:
    void start(HttpServerLimits limits)
    {
        this->server = std::make_unique<HttpServer>(
                this->loop, limits, [this](std::shared_ptr<HttpExchange> exchange) {
                    if (exchange->path() == "/small") {
                        exchange->answer(200, {}, "small");
                    } else if (exchange->path() == "/big") {
                        exchange->answer(200, {}, std::string(bigResponse, 'r'));
                    } else {
                        this->open.push_back(std::move(exchange));
                    }
                });
        ASSERT_EQ(this->server->listen({ "127.0.0.1", 0 }), "");
    }

    static HttpServerLimits limits(Milliseconds maxWait)
    {
        HttpServerLimits result { maxBody, 200, { 300 }, { 60000 } };
        result.maxRequestBytes = maxRequests;
        result.maxMemoryWait = maxWait;
        return result;
    }

    void observe() { this->largest = std::max(this->largest, this->server->heldRequestBytes()); }

    bool isServed()
    {
        RawClient client(this->server->port());
        client.write(small);
        return waitUntil(this->loop, [&] {
            this->observe();
            return client.received().find("HTTP/1.1 200") != std::string::npos;
        });
    }

    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    std::vector<std::shared_ptr<HttpExchange>> open;
    std::size_t largest = 0; // bytes that all requests held
};

std::string upload(std::size_t size)
{
    return "POST /large HTTP/1.1\r\nhost: x\r\ncontent-length: " + std::to_string(size)
           + "\r\n\r\n";
}

} // namespace

// Guards against requests without end that are held until the next sweep, half a second later, or
// without any bound.
TEST_F(EndlessRequest, holdsBoundedMemoryAndIsEnded)
{
    const std::vector<std::pair<std::string, std::string>> forms {
        { "GET /", "x" },
        { "GET / HTTP/1.1\r\nhost: x\r\nx: ", "y" },
        { "GET / HTTP/1.1\r\nhost: x\r\n", "a: b\r\n" },
        { "GET / HTTP/1.1\r\nhost: x\r\n", "xxxxxxxx" },
        { chunked, "0" },
        { chunked + "5;", "e" },
        { chunked + "0\r\n", "a: b\r\n" },
        { chunked, "1\r\na\r\n" },
        { chunked + "7fffffff\r\n", "a" },
        { upload(99999999), "a" },
    };
    for (const auto &[beginning, piece] : forms) {
        this->start(limits({ 300 }));
        std::vector<std::unique_ptr<EndlessClient>> clients;
        for (int i = 0; i < 20; ++i) {
            clients.push_back(
                    std::make_unique<EndlessClient>(this->server->port(), beginning, piece));
        }
        EXPECT_TRUE(waitUntil(this->loop,
                              [&] {
                                  this->observe();
                                  bool allClosed = true;
                                  for (const auto &client : clients) {
                                      client->write();
                                      allClosed = client->client.isClosedByServer() && allClosed;
                                  }
                                  return allClosed;
                              }))
                << beginning << piece;
        EXPECT_LE(this->largest, maxRequests) << beginning << piece;
        EXPECT_TRUE(this->open.empty()) << beginning << piece;
        this->server.reset();
        runFor(this->loop, { 20 });
    }
}

// Guards against a head without end that is read until the next sweep: many connections bring more
// than a process may hold in that time.
TEST_F(EndlessRequest, isRefusedAtOnceIfItsHeadIsTooLong)
{
    this->start(limits({ 300 }));
    RawClient client(this->server->port());
    client.write("GET / HTTP/1.1\r\nhost: x\r\nx: " + std::string(100 * kilobyte, 'y'));
    EXPECT_TRUE(waitUntil(
            this->loop, [&] { return client.received().find("HTTP/1.1 431") != std::string::npos; },
            { 200 }));
    EXPECT_NE(client.received().find("cassiaroad-outcome: not-run"), std::string::npos);
}

// Guards against a listener that holds all large bodies that arrive at once. Small requests pass
// meanwhile, and those that wait are told that they were not run.
TEST_F(EndlessRequest, waitsForMemoryAndIsRefusedAsNotRun)
{
    this->start(limits({ 500 }));
    std::vector<std::unique_ptr<EndlessClient>> clients;
    for (int i = 0; i < 12; ++i) {
        clients.push_back(
                std::make_unique<EndlessClient>(this->server->port(), upload(maxBody), "a"));
    }
    std::size_t refused = 0;
    const auto countRefused = [&] {
        this->observe();
        refused = 0;
        for (const auto &client : clients) {
            client->write();
            const std::string &text = client->client.received();
            refused += text.starts_with("HTTP/1.1 503")
                       && text.find("cassiaroad-outcome: not-run") != std::string::npos
                       && text.find("retry-after: ") != std::string::npos;
        }
    };
    EXPECT_TRUE(waitUntil(this->loop, [&] {
        countRefused();
        return this->open.size() == 3; // seven eighths of the memory
    }));
    EXPECT_TRUE(this->isServed());
    EXPECT_EQ(refused, 0U);
    EXPECT_TRUE(waitUntil(this->loop, [&] {
        countRefused();
        return refused == 9;
    }));
    EXPECT_EQ(this->open.size(), 3U);
    EXPECT_LE(this->largest, maxRequests);
}

// Guards against a request that keeps waiting after an earlier one has ended and made room, and
// against one whose body is damaged by the wait.
TEST_F(EndlessRequest, continuesWhenThereIsRoom)
{
    this->start(limits({ 5000 }));
    std::vector<std::unique_ptr<RawClient>> clients;
    std::vector<std::size_t> written(12, 0);
    const std::string body(maxBody, 'b');
    const std::string request = upload(maxBody) + body;
    for (int i = 0; i < 12; ++i) {
        clients.push_back(std::make_unique<RawClient>(this->server->port()));
    }
    std::size_t answered = 0;
    EXPECT_TRUE(waitUntil(this->loop, [&] {
        this->observe();
        for (std::size_t i = 0; i < clients.size(); ++i) {
            const std::string rest = request.substr(written[i], 256 * kilobyte);
            written[i] += rest.empty() ? 0 : clients[i]->writeSome(rest);
        }
        for (const auto &exchange : std::exchange(this->open, {})) {
            answered += exchange->body() == body ? 1 : 0;
            exchange->answer(200, {}, {});
        }
        return answered == clients.size();
    }));
    EXPECT_LE(this->largest, maxRequests);
    EXPECT_TRUE(waitUntil(this->loop, [&] { return this->server->heldRequestBytes() == 0; }));
}

// Guards against a body that is not read after the interim response which its client waits for.
TEST_F(EndlessRequest, readsABodyAfterAnInterimResponse)
{
    this->start(limits({ 300 }));
    RawClient client(this->server->port());
    const std::string body(200 * kilobyte, 'b');
    client.write("POST /a HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ncontent-length: "
                 + std::to_string(body.size()) + "\r\n\r\n");
    ASSERT_TRUE(
            waitUntil(this->loop, [&] { return client.received().starts_with("HTTP/1.1 100"); }));
    std::size_t written = 0;
    ASSERT_TRUE(waitUntil(this->loop, [&] {
        written += client.writeSome(body.substr(written));
        return this->open.size() == 1;
    }));
    EXPECT_EQ(this->open.front()->body(), body);
}

// Guards against pipelined requests that are read without end while the first one is handled.
TEST_F(EndlessRequest, isNotReadWhileAnEarlierOneIsHandled)
{
    this->start(limits({ 300 }));
    std::vector<std::unique_ptr<EndlessClient>> clients;
    for (int i = 0; i < 20; ++i) {
        clients.push_back(std::make_unique<EndlessClient>(this->server->port(), "",
                                                          "GET /a HTTP/1.1\r\nhost: x\r\n\r\n"));
    }
    waitUntil(this->loop,
              [&] {
                  this->observe();
                  for (const auto &client : clients) {
                      client->write();
                  }
                  return false;
              },
              { 500 });
    EXPECT_EQ(this->open.size(), clients.size());
    EXPECT_LE(this->largest, maxRequests);
}

// Guards against large responses that are held without bound and without end, because their clients
// do not read them.
TEST_F(EndlessRequest, boundsResponsesThatAreNotRead)
{
    HttpServerLimits limits = EndlessRequest::limits({ 300 });
    limits.maxRequestBytes = 3 * bigResponse;
    limits.unreadTimeout = { 1000 };
    this->start(limits);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 6; ++i) {
        clients.push_back(std::make_unique<RawClient>(this->server->port()));
        clients.back()->write("GET /big HTTP/1.1\r\nhost: x\r\n\r\n");
    }
    EXPECT_TRUE(waitUntil(this->loop, [&] {
        this->observe();
        return this->largest > bigResponse && this->server->backlog().unwrittenResponses == 2;
    }));
    EXPECT_TRUE(this->isServed());
    EXPECT_LE(this->largest, limits.maxRequestBytes);
    const auto refused = std::count_if(clients.begin(), clients.end(), [](const auto &client) {
        return client->received(kilobyte).starts_with("HTTP/1.1 502");
    });
    EXPECT_EQ(refused, 4);
    EXPECT_TRUE(waitUntil(
            this->loop, [&] { return this->server->backlog().unwrittenResponses == 0; }, { 4000 }));
    EXPECT_EQ(this->server->heldRequestBytes(), 0U);
}

// Guards against a client that reads a large response slowly and is taken for one that does not.
TEST_F(EndlessRequest, keepsAConnectionWhoseResponseIsReadSlowly)
{
    HttpServerLimits limits = EndlessRequest::limits({ 300 });
    limits.maxRequestBytes = 3 * bigResponse;
    limits.unreadTimeout = { 1000 };
    this->start(limits);
    RawClient client(this->server->port());
    client.write("GET /big HTTP/1.1\r\nhost: x\r\n\r\n");
    TimePoint next = this->loop.now();
    std::size_t received = 0;
    EXPECT_TRUE(waitUntil(this->loop, [&] {
        if (this->loop.now() >= next) {
            next = this->loop.now() + Milliseconds { 400 };
            received = client.received(received + 2 * megabyte).size();
        }
        return received > bigResponse;
    }));
    EXPECT_FALSE(client.isClosedByServer());
}
