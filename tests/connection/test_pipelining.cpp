#include "connection/httpserver.h"

#include "support/loopwait.h"
#include "support/rawclient.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace cassiaroad;

namespace {

std::string lookup(const std::string &path, const std::string &headers = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
}

/** A listener on which requests below /read/ may run before their turn. */
class PipeliningTest : public testing::Test
{
protected:
    void start(HttpServerLimits limits = { 1024, 100 }, bool runsAhead = true)
    {
        HttpServer::MayRunAhead mayRunAhead;
        if (runsAhead) {
            mayRunAhead = [](std::string_view /*method*/, std::string_view host,
                             std::string_view path) {
                return host != "x"                      ? RunAhead::Never
                       : path.starts_with("/read/")     ? RunAhead::Small
                       : path.starts_with("/download/") ? RunAhead::Large
                                                        : RunAhead::Never;
            };
        }
        this->server = std::make_unique<HttpServer>(
                this->loop, limits,
                [this](std::shared_ptr<HttpExchange> exchange) {
                    this->paths.emplace_back(exchange->path());
                    const std::size_t index = this->open.size();
                    exchange->onClientGone([this, index] { this->gone.push_back(index); });
                    this->open.push_back(std::move(exchange));
                },
                std::move(mayRunAhead));
        ASSERT_EQ(this->server->listen({ "127.0.0.1", 0 }), "");
    }

    bool waitForRequests(std::size_t count)
    {
        return waitUntil(this->loop, [&] { return this->open.size() >= count; });
    }

    bool receives(RawClient &client, const std::string &text)
    {
        return waitUntil(this->loop,
                         [&] { return client.received().find(text) != std::string::npos; });
    }

    // Whether nothing is held once all responses are written.
    bool releasesItsMemory()
    {
        return waitUntil(this->loop, [&] { return this->server->heldRequestBytes() == 0; });
    }

    void answer(std::size_t index)
    {
        this->open.at(index)->answer(200, {}, "<" + this->paths.at(index) + ">");
    }

    // Bodies that @p client has received, in their order.
    static std::vector<std::string> bodies(RawClient &client)
    {
        std::vector<std::string> result;
        const std::string &text = client.received();
        for (std::size_t from = text.find('<'); from != std::string::npos;
             from = text.find('<', from + 1)) {
            result.push_back(text.substr(from + 1, text.find('>', from) - from - 1));
        }
        return result;
    }

    using Texts = std::vector<std::string>;

    EventLoop loop;
    std::unique_ptr<HttpServer> server;
    std::vector<std::string> paths; // of the requests, in the order of their start
    std::vector<std::shared_ptr<HttpExchange>> open;
    std::vector<std::size_t> gone; // requests that were cancelled
};

} // namespace

// Guards against requests that start only when the slow one before them is answered, and against
// responses in the order in which they become ready.
TEST_F(PipeliningTest, startsRequestsBehindASlowOneAndAnswersInOrder)
{
    this->start();
    RawClient client(this->server->port());
    client.write(lookup("/read/0") + lookup("/read/1", "X-Key: Seven\r\n")
                 + lookup("/read/2", "content-length: 0\r\n"));
    ASSERT_TRUE(this->waitForRequests(3));
    EXPECT_EQ(this->paths, (Texts { "/read/0", "/read/1", "/read/2" }));
    EXPECT_EQ(this->open[1]->header("x-key"), "Seven");
    EXPECT_EQ(this->open[1]->header("host"), "x");
    EXPECT_EQ(
            this->open[1]->headers(),
            (std::vector<std::pair<std::string_view, std::string_view>> { { "x-key", "Seven" } }));
    EXPECT_TRUE(this->open[2]->headers().empty());
    this->answer(2);
    this->answer(1);
    runFor(this->loop, { 50 });
    EXPECT_EQ(client.received(), "");
    this->answer(0);
    ASSERT_TRUE(this->receives(client, "</read/2>"));
    EXPECT_EQ(bodies(client), (Texts { "/read/0", "/read/1", "/read/2" }));
    EXPECT_EQ(this->open.size(), 3U);
    EXPECT_EQ(this->server->requestsAhead(), (RequestsAhead { 0, 0, 2 }));
    EXPECT_TRUE(this->releasesItsMemory());
}

// Guards against requests that mean something else when they start early: http-parser reads their
// heads then, and h2o otherwise.
TEST_F(PipeliningTest, readsTheSameFromARequestAheadAsAtItsTurn)
{
    this->start();
    RawClient client(this->server->port());
    const std::string text = "GET /read/%41?q=a%20b&r=../c HTTP/1.1\r\nHost: x\r\nX-Empty:\r\n"
                             "X-Twice: One\r\nx-twice:two\r\nAccept: */*;q=0.5, a:b\r\n"
                             "Connection: Keep-Alive\r\nContent-Length: 0\r\nX-Key: \t7\r\n\r\n";
    client.write(text + text);
    ASSERT_TRUE(this->waitForRequests(2));
    const HttpExchange &atTurn = *this->open[0];
    const HttpExchange &ahead = *this->open[1];
    EXPECT_EQ(atTurn.method(), ahead.method());
    EXPECT_EQ(atTurn.path(), ahead.path());
    EXPECT_EQ(atTurn.header("host"), ahead.header("host"));
    EXPECT_EQ(atTurn.header("x-twice"), ahead.header("x-twice"));
    EXPECT_EQ(atTurn.header("x-key"), ahead.header("x-key"));
    EXPECT_EQ(atTurn.header("content-length"), ahead.header("content-length"));
    EXPECT_EQ(atTurn.headers(), ahead.headers());
    EXPECT_EQ(atTurn.body(), ahead.body());
    EXPECT_GE(ahead.arrivedAt(), atTurn.arrivedAt());
}

// Guards against a response that is lost because its request had its turn before it was ready.
TEST_F(PipeliningTest, answersARequestThatIsStillOpenAtItsTurn)
{
    this->start();
    RawClient client(this->server->port());
    client.write(lookup("/read/0") + lookup("/read/1"));
    ASSERT_TRUE(this->waitForRequests(2));
    const TimePoint arrivedAt = this->open[1]->arrivedAt();
    runFor(this->loop, { 20 });
    this->answer(0);
    ASSERT_TRUE(this->receives(client, "</read/0>"));
    EXPECT_EQ(this->open[1]->arrivedAt(), arrivedAt);
    client.write(lookup("/read/2"));
    ASSERT_TRUE(this->waitForRequests(3));
    this->answer(2);
    this->answer(1);
    ASSERT_TRUE(this->receives(client, "</read/2>"));
    EXPECT_EQ(bodies(client), (Texts { "/read/0", "/read/1", "/read/2" }));
}

// Guards against listeners that start requests early without having been told which ones.
TEST_F(PipeliningTest, startsNothingEarlyUnlessAsked)
{
    this->start({ 1024, 100 }, false);
    RawClient client(this->server->port());
    client.write(lookup("/read/0") + lookup("/read/1"));
    ASSERT_TRUE(this->waitForRequests(1));
    client.write(lookup("/read/2"));
    runFor(this->loop, { 100 });
    EXPECT_EQ(this->open.size(), 1U);
    for (std::size_t i = 0; i < 3; ++i) {
        ASSERT_TRUE(this->waitForRequests(i + 1));
        this->answer(i);
    }
    ASSERT_TRUE(this->receives(client, "</read/2>"));
    EXPECT_EQ(bodies(client), (Texts { "/read/0", "/read/1", "/read/2" }));
}

// Guards against heads that are overlooked because they arrive later than the open request, in
// pieces, while the bytes before them stay unread.
TEST_F(PipeliningTest, startsARequestWhoseHeadArrivesInPieces)
{
    this->start();
    RawClient client(this->server->port());
    client.write(lookup("/read/0"));
    ASSERT_TRUE(this->waitForRequests(1));
    const std::string both = lookup("/read/1") + lookup("/read/2");
    for (std::size_t i = 0; i < both.size(); i += 7) {
        client.write(std::string_view(both).substr(i, 7));
        runFor(this->loop, { 2 });
    }
    ASSERT_TRUE(this->waitForRequests(3));
    for (const std::size_t i : { 2, 0, 1 }) {
        this->answer(i);
    }
    ASSERT_TRUE(this->receives(client, "</read/2>"));
    EXPECT_EQ(bodies(client), (Texts { "/read/0", "/read/1", "/read/2" }));
    // The socket wakes the server for a single byte again.
    client.write("G");
    runFor(this->loop, { 5 });
    client.write(lookup("/read/3").substr(1));
    ASSERT_TRUE(this->waitForRequests(4));
    this->answer(3);
    EXPECT_TRUE(this->receives(client, "</read/3>"));
}

// Guards against an unlimited number of requests of one connection, and against a gap once the
// first of them is answered.
TEST_F(PipeliningTest, boundsTheRequestsOfOneConnection)
{
    HttpServerLimits limits { 1024, 100 };
    limits.maxRequestsAhead = 3;
    this->start(limits);
    RawClient client(this->server->port());
    std::string all;
    Texts expected;
    for (int i = 0; i < 200; ++i) {
        expected.push_back("/read/" + std::to_string(i));
        all += lookup(expected.back());
    }
    client.write(all);
    ASSERT_TRUE(this->waitForRequests(4));
    runFor(this->loop, { 50 });
    EXPECT_EQ(this->open.size(), 4U);
    EXPECT_EQ(this->server->requestsAhead().open, 3U);
    for (std::size_t i = 0; i < expected.size(); ++i) {
        ASSERT_TRUE(this->waitForRequests(std::min(i + 4, expected.size()))) << i;
        this->answer(i);
    }
    ASSERT_TRUE(this->receives(client, "</read/199>"));
    EXPECT_EQ(bodies(client), expected);
    EXPECT_EQ(this->paths, expected);
}

// Guards against a request that is not idempotent and runs although the response before it may
// close the connection, and against a lookup that overtakes it.
TEST_F(PipeliningTest, startsARequestThatIsNotIdempotentAtItsTurn)
{
    this->start();
    RawClient client(this->server->port());
    client.write(lookup("/read/0") + lookup("/read/1")
                 + "POST /order/2 HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\nabc"
                 + lookup("/read/3") + lookup("/read/4"));
    ASSERT_TRUE(this->waitForRequests(2));
    runFor(this->loop, { 50 });
    EXPECT_EQ(this->open.size(), 2U);
    this->answer(0);
    ASSERT_TRUE(this->receives(client, "</read/0>"));
    runFor(this->loop, { 50 });
    EXPECT_EQ(this->open.size(), 2U);
    this->answer(1);
    ASSERT_TRUE(this->waitForRequests(3));
    runFor(this->loop, { 50 });
    EXPECT_EQ(this->open.size(), 3U);
    EXPECT_EQ(this->open[2]->body(), "abc");
    this->answer(2);
    ASSERT_TRUE(this->waitForRequests(5));
    this->answer(4);
    this->answer(3);
    ASSERT_TRUE(this->receives(client, "</read/4>"));
    EXPECT_EQ(bodies(client), (Texts { "/read/0", "/read/1", "/order/2", "/read/3", "/read/4" }));
}

// Guards against work for a client that has closed its connection.
TEST_F(PipeliningTest, cancelsAllRequestsOfAClientThatCloses)
{
    this->start();
    RawClient client(this->server->port());
    client.write(lookup("/read/0") + lookup("/read/1") + lookup("/read/2") + lookup("/read/3"));
    ASSERT_TRUE(this->waitForRequests(4));
    this->answer(2);
    client.disconnect();
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->gone.size() == 3; }));
    EXPECT_EQ(this->gone, (std::vector<std::size_t> { 0, 1, 3 }));
    EXPECT_TRUE(this->open[3]->isClientGone());
    this->answer(1);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->server->connectionCount() == 0; }));
    EXPECT_EQ(this->server->requestsAhead(), (RequestsAhead { 0, 0, 3 }));
    EXPECT_TRUE(this->releasesItsMemory());
}

// As above, for a client whose unread bytes hide that it has closed the connection.
TEST_F(PipeliningTest, cancelsAllRequestsOfAClientThatClosesBehindUnreadBytes)
{
    this->start();
    RawClient client(this->server->port());
    client.write(lookup("/read/0"));
    ASSERT_TRUE(this->waitForRequests(1));
    client.write(lookup("/read/1") + lookup("/read/2").substr(0, 9));
    ASSERT_TRUE(this->waitForRequests(2));
    client.disconnect();
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->gone.size() == 2; }));
    EXPECT_TRUE(waitUntil(this->loop, [&] { return this->server->connectionCount() == 0; }));
}

// Guards against a response behind one that closes the connection: its request counts as not read.
TEST_F(PipeliningTest, startsNothingBehindARequestThatClosesTheConnection)
{
    this->start();
    RawClient client(this->server->port());
    client.write(lookup("/read/0") + lookup("/read/1", "connection: close\r\n")
                 + lookup("/read/2"));
    ASSERT_TRUE(this->waitForRequests(1));
    runFor(this->loop, { 50 });
    EXPECT_EQ(this->open.size(), 1U);
    this->answer(0);
    ASSERT_TRUE(this->waitForRequests(2));
    this->answer(1);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return client.isClosedByServer(); }));
    EXPECT_EQ(bodies(client), (Texts { "/read/0", "/read/1" }));
    EXPECT_EQ(this->open.size(), 2U);
}

// Guards against a stop that cuts off requests which an upstream has got already (LOST), that
// announces the close before their responses, or that starts requests which it cannot answer.
TEST_F(PipeliningTest, answersAllRequestsAheadBeforeItCloses)
{
    this->start();
    RawClient client(this->server->port());
    client.write(lookup("/read/0") + lookup("/read/1") + lookup("/read/2"));
    ASSERT_TRUE(this->waitForRequests(3));
    this->answer(2);
    this->server->closeAfterNextResponse();
    client.write(lookup("/read/3"));
    runFor(this->loop, { 50 });
    EXPECT_EQ(this->open.size(), 3U);
    EXPECT_TRUE(this->gone.empty());
    EXPECT_EQ(this->server->requestsAhead().open, 2U);
    this->answer(0);
    this->answer(1);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return client.isClosedByServer(); }));
    EXPECT_EQ(bodies(client), (Texts { "/read/0", "/read/1", "/read/2" }));
    const std::string &text = client.received();
    const std::size_t close = text.find("onnection: close");
    ASSERT_NE(close, std::string::npos);
    EXPECT_GT(close, text.find("</read/1>"));
    EXPECT_LT(close, text.find("</read/2>"));
    EXPECT_EQ(this->open.size(), 3U);
    EXPECT_TRUE(this->releasesItsMemory());
}

// As above, for the most requests ahead that a connection may have, which become ready in another
// order, while others behind them count as not read.
TEST_F(PipeliningTest, answersAsManyRequestsAheadAsItHasStarted)
{
    this->start();
    RawClient client(this->server->port());
    Texts expected;
    std::string text;
    for (int i = 0; i < 12; ++i) {
        text += lookup("/read/" + std::to_string(i));
    }
    client.write(text);
    const std::size_t started = HttpServerLimits().maxRequestsAhead + 1;
    ASSERT_TRUE(this->waitForRequests(started));
    this->server->closeAfterNextResponse();
    for (std::size_t i = started; i > 0; --i) {
        this->answer(i - 1);
        expected.insert(expected.begin(), "/read/" + std::to_string(i - 1));
    }
    ASSERT_TRUE(waitUntil(this->loop, [&] { return client.isClosedByServer(); }));
    EXPECT_EQ(bodies(client), expected);
    EXPECT_EQ(this->open.size(), started);
}

// As above, while no response has been written and the listener shuts down.
TEST_F(PipeliningTest, shutsDownWhileRequestsAreAhead)
{
    this->start();
    RawClient client(this->server->port());
    client.write(lookup("/read/0") + lookup("/read/1") + lookup("/read/2"));
    ASSERT_TRUE(this->waitForRequests(3));
    bool done = false;
    this->server->shutDown([&] { done = true; });
    EXPECT_TRUE(this->gone.empty());
    this->answer(0);
    this->answer(1);
    runFor(this->loop, { 50 });
    EXPECT_FALSE(done);
    this->answer(2);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return done; }));
    EXPECT_EQ(this->open.size(), 3U);
    const Texts received = bodies(client);
    EXPECT_EQ(received, (Texts { "/read/0", "/read/1", "/read/2" }));
}

// Guards against a listener that ends while requests are ahead, and against their late responses.
TEST_F(PipeliningTest, cancelsRequestsAheadWhenTheListenerIsDestroyed)
{
    this->start();
    RawClient client(this->server->port());
    client.write(lookup("/read/0") + lookup("/read/1"));
    ASSERT_TRUE(this->waitForRequests(2));
    this->server.reset();
    EXPECT_TRUE(waitUntil(this->loop, [&] { return this->gone.size() == 2; }));
    this->answer(1);
    this->answer(0);
}

// Guards against responses before their turn that take the memory of all other requests: clients
// that read nothing keep a fixed share of it at most.
TEST_F(PipeliningTest, startsNothingEarlyWithoutMemoryForTheResponse)
{
    HttpServerLimits limits { 1024, 100 };
    limits.maxRequestBytes = std::size_t(4) * 1024 * 1024;
    this->start(limits);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 20; ++i) {
        clients.push_back(std::make_unique<RawClient>(this->server->port()));
        clients.back()->write(lookup("/read/0") + lookup("/read/1") + lookup("/read/2"));
    }
    ASSERT_TRUE(this->waitForRequests(20));
    runFor(this->loop, { 50 });
    EXPECT_GT(this->server->requestsAhead().open, 0U);
    EXPECT_LE(this->server->requestsAhead().heldBytes, limits.maxRequestBytes / 8 + 4096);
    EXPECT_EQ(this->server->requestsAhead().heldBytes, this->server->heldRequestBytes());
    // Requests that were not started early are answered at their turn.
    for (std::size_t i = 0; i < 60; ++i) {
        ASSERT_TRUE(this->waitForRequests(i + 1));
        this->answer(i);
    }
    for (const auto &client : clients) {
        ASSERT_TRUE(this->receives(*client, "</read/2>"));
        EXPECT_EQ(bodies(*client), (Texts { "/read/0", "/read/1", "/read/2" }));
    }
    EXPECT_TRUE(this->releasesItsMemory());
}

// Guards against downloads that are answered with 502 since several of them are kept at the same
// time, while each of them fits at its turn.
TEST_F(PipeliningTest, keepsFewLargeResponses)
{
    HttpServerLimits limits { 1024, 100 };
    limits.maxRequestBytes = std::size_t(8) * 1024 * 1024;
    this->start(limits);
    RawClient client(this->server->port());
    std::string all;
    for (int i = 0; i < 9; ++i) {
        all += lookup("/download/" + std::to_string(i));
    }
    client.write(all);
    const std::string body(2UL * 1024 * 1024, 'z');
    for (std::size_t i = 0; i < 9; ++i) {
        ASSERT_TRUE(waitUntil(this->loop, [&] {
            client.received();
            return this->open.size() > i;
        }));
        for (std::size_t j = i + 1; j < this->open.size(); ++j) {
            this->open[j]->answer(200, {}, body);
        }
        this->open[i]->answer(200, {}, body);
    }
    ASSERT_TRUE(waitUntil(this->loop, [&] { return client.received().size() > 9 * body.size(); }));
    EXPECT_EQ(client.received().find("HTTP/1.1 502"), std::string::npos);
    EXPECT_EQ(this->server->requestsAhead().started, 1U);
    EXPECT_TRUE(this->releasesItsMemory());
}

// Guards against a client that retries too late, or gives up: the time after which it may retry
// counts from the refusal, also if that waits for its turn.
TEST_F(PipeliningTest, lowersTheRetryAfterOfARefusalThatWaitsForItsTurn)
{
    this->start();
    RawClient client(this->server->port());
    client.write(lookup("/read/0") + lookup("/read/1") + lookup("/read/2"));
    ASSERT_TRUE(this->waitForRequests(3));
    this->open[1]->answer(503, { { "retry-after", "9.900" } }, "");
    this->open[2]->answer(503, { { "retry-after", "0.050" } }, "");
    runFor(this->loop, { 100 });
    this->answer(0);
    ASSERT_TRUE(waitUntil(this->loop, [&] {
        const std::size_t first = client.received().find("etry-after: ");
        return first != std::string::npos
               && client.received().find("etry-after: 0.000", first) != std::string::npos;
    }));
    const std::size_t at = client.received().find("etry-after: ") + 12;
    const double seconds = std::stod(client.received().substr(at, 5));
    EXPECT_LE(seconds, 9.81);
}

// Guards against a part of a response, or a response that is dropped without a trace, when it does
// not fit into the memory while it waits for its turn.
TEST_F(PipeliningTest, answersThatTheOutcomeIsUnknownIfAResponseCannotBeKept)
{
    HttpServerLimits limits { 1024, 100 };
    limits.maxRequestBytes = std::size_t(8) * 1024 * 1024;
    this->start(limits);
    RawClient client(this->server->port());
    client.write(lookup("/read/0") + lookup("/read/1") + lookup("/read/2"));
    ASSERT_TRUE(this->waitForRequests(3));
    this->open[1]->answer(200, {}, std::string(9UL * 1024 * 1024, 'z'));
    this->answer(2);
    this->answer(0);
    ASSERT_TRUE(this->receives(client, "</read/2>"));
    EXPECT_NE(client.received().find("HTTP/1.1 502"), std::string::npos);
    EXPECT_EQ(client.received().find('z'), std::string::npos);
    EXPECT_TRUE(this->releasesItsMemory());
}
