#include "connection/httpserver.h"

#include "support/loopwait.h"
#include "support/rawclient.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

class HttpServerTest : public testing::Test
{
protected:
    void start(HttpServerLimits limits = { 1024, 100 })
    {
        this->server = std::make_unique<HttpServer>(
                this->loop, limits, [this](std::shared_ptr<HttpExchange> exchange) {
                    this->requests.push_back(std::string(exchange->method()) + " "
                                             + std::string(exchange->path()) + " "
                                             + std::string(exchange->body()));
                    if (this->answersAtOnce) {
                        exchange->answer(200, { { "x-test", "1" } },
                                         "echo:" + std::string(exchange->body()));
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
    std::vector<std::string> requests;
    std::vector<std::shared_ptr<HttpExchange>> open;
    bool answersAtOnce = true;
};

} // namespace

// Guards against responses that are swapped or lost on a connection with several requests (P3).
TEST_F(HttpServerTest, answersPipelinedRequestsInOrder)
{
    this->start();
    RawClient client(this->server->port());
    client.write("GET /a HTTP/1.1\r\nhost: x\r\n\r\n"
                 "POST /b HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nxyz"
                 "POST /c HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
                 "2\r\nuv\r\n0\r\n\r\n");
    ASSERT_TRUE(this->receives(client, "echo:uv"));
    EXPECT_EQ(this->requests,
              (std::vector<std::string> { "GET /a ", "POST /b xyz", "POST /c uv" }));
    EXPECT_LT(client.received().find("echo:xyz"), client.received().find("echo:uv"));
}

// Guards against reading the body of an upload that is refused anyway (section 6.4).
TEST_F(HttpServerTest, refusesLargeBodyBeforeReadingIt)
{
    this->start();
    RawClient client(this->server->port());
    client.write("POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 1025\r\n\r\n");
    ASSERT_TRUE(this->receives(client, "\r\n\r\n"));
    EXPECT_NE(client.received().find(" 413 "), std::string::npos);
    EXPECT_NE(client.received().find("cassiaroad-outcome: not-run"), std::string::npos);
    EXPECT_TRUE(this->requests.empty());
}

TEST_F(HttpServerTest, refusesChunkedBodyAboveTheLimit)
{
    this->start();
    RawClient client(this->server->port());
    client.write("POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n800\r\n"
                 + std::string(2048, 'x') + "\r\n");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return client.isClosedByServer(); }));
    EXPECT_TRUE(this->requests.empty());
}

// Guards against 413 for a chunked body of just the largest size, whose chunks take more bytes.
TEST_F(HttpServerTest, acceptsAChunkedBodyOfTheLargestSize)
{
    this->start();
    RawClient client(this->server->port());
    std::string chunks;
    for (int i = 0; i < 1024; ++i) {
        chunks += "1\r\nx\r\n";
    }
    client.write("POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n" + chunks
                 + "0\r\n\r\n");
    EXPECT_TRUE(this->receives(client, "echo:" + std::string(1024, 'x')));
}

// Guards against request smuggling, where two servers see different ends of a request (P3, P4).
TEST_F(HttpServerTest, refusesAmbiguousLength)
{
    this->start();
    for (const std::string framing :
         { "content-length: 3\r\ntransfer-encoding: chunked\r\n",
           "transfer-encoding: chunked\r\nContent-Length: 3\r\n",
           "content-length: 3\r\ncontent-length: 4\r\n",
           "content-length : 3\r\nContent-length: 5\r\n",
           "transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n" }) {
        RawClient client(this->server->port());
        client.write("POST /a HTTP/1.1\r\nhost: x\r\n" + framing + "\r\n0\r\n\r\nGET /evil");
        ASSERT_TRUE(waitUntil(this->loop, [&] { return client.isClosedByServer(); })) << framing;
        EXPECT_EQ(client.received().find(" 200 "), std::string::npos) << framing;
    }
    EXPECT_TRUE(this->requests.empty());
}

TEST_F(HttpServerTest, refusesLongHeaders)
{
    this->start();
    RawClient client(this->server->port());
    client.write("GET /a HTTP/1.1\r\nhost: x\r\nx: " + std::string(40000, 'y') + "\r\n\r\n");
    ASSERT_TRUE(this->receives(client, " 431 "));
    RawClient endless(this->server->port());
    endless.write("GET /a HTTP/1.1\r\nhost: x\r\nx: " + std::string(40000, 'y'));
    EXPECT_TRUE(waitUntil(this->loop, [&] { return endless.isClosedByServer(); }));
    EXPECT_TRUE(this->requests.empty());
}

TEST_F(HttpServerTest, limitsTheNumberOfConnections)
{
    this->start({ 1024, 2 });
    RawClient first(this->server->port());
    RawClient second(this->server->port());
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->server->connectionCount() == 2; }));
    RawClient third(this->server->port());
    EXPECT_TRUE(waitUntil(this->loop, [&] { return third.isClosedByServer(); }));
    second.disconnect();
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->server->connectionCount() == 1; }));
    first.write("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
    EXPECT_TRUE(this->receives(first, "echo:"));
}

// Guards against connections that are occupied by clients that send almost nothing.
TEST_F(HttpServerTest, closesConnectionsOfSlowSenders)
{
    this->start({ 1024, 100, { 300 }, { 60000 } });
    RawClient slowHead(this->server->port());
    slowHead.write("GET /a HTT");
    RawClient slowBody(this->server->port());
    slowBody.write("POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000\r\n\r\n12");
    EXPECT_TRUE(waitUntil(this->loop,
                          [&] {
                              slowBody.write("3");
                              return slowHead.isClosedByServer() && slowBody.isClosedByServer();
                          },
                          { 4000 }));
    EXPECT_TRUE(this->requests.empty());
}

TEST_F(HttpServerTest, closesIdleConnections)
{
    this->start({ 1024, 100, { 60000 }, { 300 } });
    RawClient client(this->server->port());
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->server->connectionCount() == 1; }));
    EXPECT_TRUE(waitUntil(this->loop, [&] { return client.isClosedByServer(); }, { 4000 }));
}

// Guards against work for callers that have disconnected (section 6.3).
TEST_F(HttpServerTest, detectsThatTheClientHasDisconnected)
{
    this->answersAtOnce = false;
    this->start();
    RawClient client(this->server->port());
    client.write("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->open.size() == 1; }));
    int gone = 0;
    this->open[0]->onClientGone([&] { ++gone; });
    runFor(this->loop, { 20 });
    EXPECT_EQ(gone, 0);
    client.disconnect();
    ASSERT_TRUE(waitUntil(this->loop, [&] { return gone == 1; }));
    EXPECT_TRUE(this->open[0]->isClientGone());
    this->open[0]->answer(200, {}, "late");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->server->connectionCount() == 0; }));
    this->open[0]->answer(200, {}, "later still");
    EXPECT_EQ(gone, 1);
}

// Guards against a disconnect that goes unnoticed because a pipelined request is still unread.
TEST_F(HttpServerTest, detectsThatAPipeliningClientHasDisconnected)
{
    this->answersAtOnce = false;
    this->start();
    RawClient client(this->server->port());
    client.write("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->open.size() == 1; }));
    int gone = 0;
    this->open[0]->onClientGone([&] { ++gone; });
    client.write("GET /b HTTP/1.1\r\nhost: x\r\n\r\n");
    runFor(this->loop, { 20 });
    client.disconnect();
    EXPECT_TRUE(waitUntil(this->loop, [&] { return gone == 1; }));
}

// Guards against losing the next pipelined request while the server watches for a disconnect.
TEST_F(HttpServerTest, keepsPipelinedRequestWhileWatchingForADisconnect)
{
    this->answersAtOnce = false;
    this->start();
    RawClient client(this->server->port());
    client.write("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->open.size() == 1; }));
    this->open[0]->onClientGone([] {});
    client.write("GET /b HTTP/1.1\r\nhost: x\r\n\r\n");
    runFor(this->loop, { 20 });
    EXPECT_EQ(this->open[0]->path(), "/a");
    this->open[0]->answer(200, {}, "answer-a");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->open.size() == 2; }));
    this->open[1]->answer(200, {}, "answer-b");
    EXPECT_TRUE(this->receives(client, "answer-b"));
}

// Guards against a planned stop that aborts a request (P7).
TEST_F(HttpServerTest, finishesRequestsBeforeItShutsDown)
{
    this->answersAtOnce = false;
    this->start();
    RawClient busy(this->server->port());
    busy.write("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
    RawClient idle(this->server->port());
    RawClient uploading(this->server->port());
    uploading.write("POST /u HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\nab");
    ASSERT_TRUE(waitUntil(this->loop, [&] {
        return this->open.size() == 1 && this->server->connectionCount() == 3;
    }));
    bool done = false;
    this->server->shutDown([&] { done = true; });
    EXPECT_TRUE(waitUntil(this->loop, [&] { return idle.isClosedByServer(); }));
    uploading.write("cd");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->open.size() == 2; }));
    EXPECT_FALSE(done);
    this->open[1]->answer(200, {}, "uploaded");
    this->open[0]->answer(200, {}, "complete");
    EXPECT_TRUE(this->receives(uploading, "uploaded"));
    EXPECT_TRUE(this->receives(busy, "complete"));
    EXPECT_TRUE(waitUntil(this->loop, [&] { return done && busy.isClosedByServer(); }));
    EXPECT_FALSE(RawClient(this->server->port()).connected);
}

// Guards against a reset of connections that wait to be accepted when the listener closes: a busy
// loop accepts them late, and their clients have sent requests already.
TEST_F(HttpServerTest, answersRequestsOnConnectionsThatItHasNotAcceptedYet)
{
    this->start();
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 40; ++i) {
        clients.push_back(std::make_unique<RawClient>(this->server->port()));
        clients.back()->write("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
    }
    this->server->shutDown([] {});
    for (const auto &client : clients) {
        ASSERT_TRUE(this->receives(*client, "HTTP/1.1 200"));
    }
}

// Guards against a request without a response that arrives while its idle connection is being
// closed: it was read, refused and could not be answered any more.
TEST_F(HttpServerTest, answersARequestThatArrivesWhileItsIdleConnectionIsClosed)
{
    constexpr Milliseconds sweepInterval { 500 };
    this->start();
    RawClient client(this->server->port());
    std::optional<TimePoint> shutDownAt;
    bool isSent = false;
    // Fires right after the sweep that closes idle connections, before the loop reads from sockets.
    const EventLoop::Timer timer = this->loop.callEvery(sweepInterval, [&] {
        if (shutDownAt && !isSent && this->loop.now() - *shutDownAt > sweepInterval) {
            isSent = client.write("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
        }
    });
    const TimePoint bothDue = this->loop.now() + sweepInterval;
    while (this->loop.now() < bothDue) { } // both timers fire in the same iteration from now on
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->server->connectionCount() == 1; }));
    shutDownAt = this->loop.now();
    this->server->shutDown([] {});
    ASSERT_TRUE(waitUntil(this->loop, [&] { return client.isClosedByServer(); }));
    EXPECT_TRUE(isSent);
    EXPECT_NE(client.received().find("HTTP/1.1 503"), std::string::npos);
}

// Guards against a body in a response to HEAD, which clients would read as the next response (P3).
TEST_F(HttpServerTest, sendsNoBodyForHead)
{
    this->answersAtOnce = false;
    this->start();
    RawClient client(this->server->port());
    client.write("HEAD /a HTTP/1.1\r\nhost: x\r\n\r\n");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->open.size() == 1; }));
    this->open[0]->answer(200, { { "content-length", "77" } }, "");
    ASSERT_TRUE(this->receives(client, "\r\n\r\n"));
    EXPECT_NE(client.received().find("ontent-Length: 77\r\n"), std::string::npos)
            << client.received();
    EXPECT_TRUE(client.received().ends_with("\r\n\r\n"));
}

// Guards against a server that no longer supports HTTP/2 clients. The first frame after the preface
// is an empty SETTINGS.
TEST_F(HttpServerTest, supportsHttp2ByPriorKnowledge)
{
    this->start();
    RawClient client(this->server->port());
    client.write(std::string_view("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33));
    // HEADERS, END_STREAM and END_HEADERS, stream 1: GET, http, /, authority "x".
    client.write(std::string_view("\0\0\6\1\5\0\0\0\1\x82\x86\x84\x41\1x", 15));
    EXPECT_TRUE(this->receives(client, "echo:"));
    EXPECT_EQ(this->requests, (std::vector<std::string> { "GET / " }));
}

// Guards against a change to HTTP/2 amid a connection, whose requests would not be counted.
TEST_F(HttpServerTest, staysWithHttp1AfterTheFirstRequest)
{
    this->start();
    RawClient client(this->server->port());
    client.write("GET /a HTTP/1.1\r\nhost: x\r\nconnection: upgrade, http2-settings\r\n"
                 "upgrade: h2c\r\nhttp2-settings: AAMAAABkAAQAAP__\r\n\r\n");
    ASSERT_TRUE(this->receives(client, "echo:"));
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 200 "));
    client.write(std::string_view("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33));
    client.write(std::string_view("\0\0\6\1\5\0\0\0\1\x82\x86\x84\x41\1x", 15));
    EXPECT_TRUE(waitUntil(this->loop, [&] { return client.isClosedByServer(); }));
    EXPECT_EQ(this->requests, (std::vector<std::string> { "GET /a " }));
}

// Guards against open connections that keep the limits with which they were opened.
TEST_F(HttpServerTest, appliesChangedLimitsToOpenConnections)
{
    this->start({ 1 << 20, 100 });
    RawClient largeBody(this->server->port());
    RawClient largeHead(this->server->port());
    RawClient idle(this->server->port());
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->server->connectionCount() == 3; }));
    HttpServerLimits limits { 1024, 100, { 60000 }, { 300 } };
    limits.maxHeadBytes = 2048;
    this->server->setLimits(limits);
    largeBody.write("POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 2000\r\n\r\n");
    EXPECT_TRUE(this->receives(largeBody, " 413 "));
    largeHead.write("GET /a HTTP/1.1\r\nhost: x\r\nx: " + std::string(3000, 'y') + "\r\n\r\n");
    EXPECT_TRUE(this->receives(largeHead, " 431 "));
    EXPECT_TRUE(waitUntil(this->loop, [&] { return idle.isClosedByServer(); }, { 2000 }));
    EXPECT_TRUE(this->requests.empty());
}

// Guards against clients that occupy connections with heads that never end. A slow body has more
// time.
TEST_F(HttpServerTest, closesConnectionsWhoseHeadTakesTooLong)
{
    HttpServerLimits limits { 1024, 100 };
    limits.headTimeout = { 300 };
    this->start(limits);
    RawClient head(this->server->port());
    head.write("GET /a HTTP/1.1\r\nx: ");
    RawClient body(this->server->port());
    body.write("POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n1");
    EXPECT_TRUE(waitUntil(this->loop,
                          [&] {
                              head.write("y");
                              return head.isClosedByServer();
                          },
                          { 1500 }));
    runFor(this->loop, { 1100 });
    body.write("2345");
    EXPECT_TRUE(this->receives(body, "echo:12345"));
}

// Guards against closing a connection as idle while its request is in progress.
TEST_F(HttpServerTest, keepsAConnectionWithARequestBeyondTheIdleTimeout)
{
    this->answersAtOnce = false;
    this->start({ 1024, 100, { 60000 }, { 300 } });
    RawClient client(this->server->port());
    client.write("GET /a HTTP/1.1\r\nhost: x\r\n\r\n");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->open.size() == 1; }));
    runFor(this->loop, { 1500 });
    EXPECT_FALSE(client.isClosedByServer());
    this->open[0]->answer(200, {}, "complete");
    EXPECT_TRUE(this->receives(client, "complete"));
}

// Guards against closing an HTTP/2 connection as idle while the body of a request arrives.
TEST_F(HttpServerTest, keepsAnHttp2ConnectionWhileABodyArrives)
{
    this->start({ 1024, 100, { 60000 }, { 700 } });
    RawClient client(this->server->port());
    client.write(std::string_view("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33));
    // HEADERS, END_HEADERS, stream 1: POST, http, /, authority "x"; then DATA of one byte each.
    client.write(std::string_view("\0\0\6\1\4\0\0\0\1\x83\x86\x84\x41\1x", 15));
    for (int i = 0; i < 10; ++i) {
        runFor(this->loop, { 200 });
        client.write(std::string_view("\0\0\1\0\0\0\0\0\1z", 10));
    }
    client.write(std::string_view("\0\0\1\0\1\0\0\0\1z", 10));
    EXPECT_TRUE(this->receives(client, "echo:"));
}
