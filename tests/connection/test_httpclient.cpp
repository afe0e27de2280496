#include "connection/httpclient.h"

#include "support/fakepeer.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr std::size_t maxResponseBytes = 1 << 20;

class HttpClientTest : public testing::Test
{
protected:
    void serve(FakePeer::Script script)
    {
        this->peer = std::make_unique<FakePeer>(this->loop, std::move(script));
        this->address = { "127.0.0.1", this->peer->port };
    }

    /** Starts a peer that sends the same bytes in response to every request. */
    void serveText(std::string response)
    {
        this->serve([response](FakePeer::Connection &connection) {
            if (connection.received.find("\r\n\r\n") != std::string::npos) {
                connection.received.clear();
                connection.write(response);
            }
        });
    }

    HttpResult exchange(HttpRequest request = { "GET", "/k", {}, {} })
    {
        std::optional<HttpResult> result;
        const auto call = this->client.send(this->address, std::move(request), maxResponseBytes,
                                            [&](HttpResult value) { result = std::move(value); });
        if (!waitUntil(this->loop, [&] { return result.has_value(); })) {
            return HttpFailure { HttpFailure::Stage::Sent, "test timeout" };
        }
        return *result;
    }

    static std::string bodyOf(const HttpResult &result)
    {
        const auto *response = std::get_if<HttpResponse>(&result);
        return response != nullptr ? response->body
                                   : "failed: " + std::get<HttpFailure>(result).reason;
    }

    static std::optional<HttpFailure::Stage> stageOf(const HttpResult &result)
    {
        const auto *failure = std::get_if<HttpFailure>(&result);
        return failure != nullptr ? std::optional(failure->stage) : std::nullopt;
    }

    EventLoop loop;
    HttpClient client { loop };
    std::unique_ptr<FakePeer> peer;
    HostAddress address;
};

} // namespace

TEST_F(HttpClientTest, reusesAConnection)
{
    this->serveText("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nX-A: b\r\n\r\nhi");
    const HttpResult first = this->exchange();
    EXPECT_EQ(bodyOf(first), "hi");
    EXPECT_EQ(std::get<HttpResponse>(first).headers[1],
              (std::pair<std::string, std::string>("x-a", "b")));
    EXPECT_EQ(this->client.idleCount(this->address), 1U);
    runFor(this->loop, { 10 });
    EXPECT_EQ(bodyOf(this->exchange()), "hi");
    EXPECT_EQ(this->peer->connections.size(), 1U);
}

TEST_F(HttpClientTest, sendsMethodHeadersAndBody)
{
    std::string seen;
    this->serve([&](FakePeer::Connection &connection) {
        seen = connection.received;
        if (seen.ends_with("order")) {
            connection.write("HTTP/1.1 204 No Content\r\n\r\n");
        }
    });
    const HttpResult result = this->exchange({ "POST", "/s/k?x", { { "a", "b" } }, "order" });
    EXPECT_EQ(std::get<HttpResponse>(result).status, 204);
    EXPECT_EQ(seen, "POST /s/k?x HTTP/1.1\r\nhost: " + this->address.toString()
                            + "\r\na: b\r\ncontent-length: 5\r\n\r\norder");
}

TEST_F(HttpClientTest, readsChunkedResponses)
{
    this->serveText("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
    EXPECT_EQ(bodyOf(this->exchange()), "hi");
    EXPECT_EQ(bodyOf(this->exchange()), "hi");
}

// Guards against a wrong report that a request was not run: Stage::Connect is only for connections
// that were refused, not for responses that were lost (P4).
TEST_F(HttpClientTest, distinguishesAnUnreachableServerFromALostResponse)
{
    this->serve([](FakePeer::Connection &connection) { connection.disconnect(); });
    EXPECT_EQ(stageOf(this->exchange()), HttpFailure::Stage::Sent);
    this->peer.reset();
    EXPECT_EQ(stageOf(this->exchange()), HttpFailure::Stage::Connect);
}

// Guards against a truncated response that is passed on as complete (P3).
TEST_F(HttpClientTest, rejectsTruncatedResponses)
{
    for (const std::string truncated :
         { "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhi",
           "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n",
           "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhi",
           "HTTP/1.1 200 OK\r\n\r\nno end", "HTTP/1.1 200 OK\r\ncontent-le",
           "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 5\r\n\r\nhi...",
           "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: "
           "chunked\r\n\r\n0\r\n\r\n" }) {
        this->serve([truncated](FakePeer::Connection &connection) {
            connection.write(truncated);
            connection.disconnect();
        });
        EXPECT_EQ(stageOf(this->exchange()), HttpFailure::Stage::ResponseTruncated) << truncated;
    }
}

// Guards against a response that is passed on as complete although the server stopped at any byte
// of its head or body and closed or reset the connection (P3).
TEST_F(HttpClientTest, rejectsEachPrefixOfAResponse)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    for (const std::string &response :
         { std::string("HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 12\r\n\r\nhello, world"),
           std::string("HTTP/1.1 200 OK\r\ncontent-length: 0\r\nx-a: b\r\n\r\n"),
           std::string("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nhi"),
           std::string("HTTP/1.1 204 No Content\r\nx-a: b\r\n\r\n"),
           interim + "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                   + "5\r\nhello\r\n7;a=b\r\n, world\r\n0\r\nx-b: c\r\n\r\n" }) {
        for (std::size_t length = 0; length <= response.size(); ++length) {
            for (const bool reset : { false, true }) {
                this->serve([&](FakePeer::Connection &connection) {
                    connection.write(std::string_view(response).substr(0, length));
                    reset ? connection.reset() : connection.disconnect();
                });
                const bool isResponse = std::holds_alternative<HttpResponse>(this->exchange());
                // A reset may overtake the last bytes.
                EXPECT_TRUE(isResponse ? length == response.size()
                                       : length < response.size() || reset)
                        << response.substr(0, length) << (reset ? " reset" : " closed");
            }
        }
    }
}

// As above; the end of the response is that of the connection, so that nothing shows its loss.
TEST_F(HttpClientTest, rejectsEachPrefixOfAResponseThatEndsWithItsConnection)
{
    for (const std::string &response :
         { std::string("HTTP/1.1 200 OK\r\nx-a: b\r\n\r\nhello"),
           std::string("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello"),
           std::string("HTTP/1.0 200 OK\r\n\r\nhello"),
           std::string("HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhello") }) {
        for (std::size_t length = 0; length <= response.size(); ++length) {
            for (const bool reset : { false, true }) {
                this->serve([&](FakePeer::Connection &connection) {
                    connection.write(std::string_view(response).substr(0, length));
                    reset ? connection.reset() : connection.disconnect();
                });
                EXPECT_TRUE(std::holds_alternative<HttpFailure>(this->exchange()))
                        << response.substr(0, length) << (reset ? " reset" : " closed");
            }
        }
    }
}

// Guards against a second response that is taken for the response to the next request (P3).
TEST_F(HttpClientTest, discardsConnectionsWithTwoResponses)
{
    const std::string response = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
    const std::string wrong = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong";
    const std::string empty = "HTTP/1.1 204 No Content\r\n\r\n";
    const std::string chunked
            = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n";
    for (const std::string &first : { response, empty, chunked }) {
        for (const std::size_t split : { std::size_t(0), std::size_t(10), wrong.size() }) {
            this->serve([&](FakePeer::Connection &connection) {
                if (connection.number == 1 && connection.received.ends_with("\r\n\r\n")) {
                    connection.received.clear();
                    connection.write(first + wrong.substr(0, split));
                    connection.write(wrong.substr(split));
                } else if (connection.number > 1) {
                    connection.write(response);
                }
            });
            this->exchange();
            runFor(this->loop, { 10 });
            EXPECT_EQ(bodyOf(this->exchange()), "first") << first << split;
            EXPECT_EQ(this->peer->connections.size(), 2U) << first << split;
        }
    }
}

// Guards against a second response that the peer's TCP delays until the first is acknowledged: it
// would arrive after the next request was written (P3).
TEST_F(HttpClientTest, delaysTheReuseOfConnections)
{
    this->serve([](FakePeer::Connection &connection) {
        const bool first = connection.received.find("/a ") != std::string::npos;
        connection.received.clear();
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n"
                         + std::string(first ? "a" : "b"));
        if (first) {
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na");
        }
    });
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(bodyOf(this->exchange({ "GET", "/a", {}, {} })), "a");
        EXPECT_EQ(bodyOf(this->exchange({ "GET", "/b", {}, {} })), "b");
    }
}

// Guards against a response to an earlier request that arrives after the next one was written.
TEST_F(HttpClientTest, rejectsResponsesThatRepeatAnotherRequestNumber)
{
    this->serveText("HTTP/1.1 200 OK\r\nCassiaroad-Request: 7\r\ncontent-length: 2\r\n\r\nhi");
    const HttpResult own = this->exchange({ "GET", "/k", { { "cassiaroad-request", "7" } }, {} });
    EXPECT_EQ(bodyOf(own), "hi");
    runFor(this->loop, { 10 });
    const HttpResult other = this->exchange({ "GET", "/k", { { "cassiaroad-request", "8" } }, {} });
    EXPECT_EQ(stageOf(other), HttpFailure::Stage::ResponseTruncated);
    EXPECT_EQ(this->client.idleCount(this->address), 0U);
}

// Guards against an earlier refusal without an id that is taken for the response to a later request
// on the connection: the caller believed that the later one was not run.
TEST_F(HttpClientTest, rejectsRefusalsThatDoNotRepeatARequiredIdentity)
{
    for (const std::string head : { "503 Full\r\nx-not-executed: 1", "421 Misdirected", "404 None",
                                    "400 Bad", "500 Failed", "302 Found", "200 OK" }) {
        this->serveText("HTTP/1.1 " + head + "\r\ncontent-length: 0\r\n\r\n");
        HttpRequest request { "GET", "/k", { { "x-id", "r1" } }, {} };
        request.identityHeader = "x-id";
        request.requiresIdentity = true;
        EXPECT_EQ(stageOf(this->exchange(request)), HttpFailure::Stage::ResponseTruncated) << head;
        EXPECT_EQ(this->client.idleCount(this->address), 0U) << head;
        // To a request without an id, upstreams respond with 400 and no id.
        request.headers.clear();
        const bool isExpected = head.starts_with("400");
        EXPECT_EQ(stageOf(this->exchange(request)),
                  isExpected ? std::nullopt : std::optional(HttpFailure::Stage::ResponseTruncated))
                << head;
    }
}

// Guards against a refusal that arrives once more after a connection was reused, for the same
// request or for another one that cannot be told apart without an id.
TEST_F(HttpClientTest, doesNotReuseAConnectionAfterARefusal)
{
    const auto idleAfter = [this](const std::string &head, const HttpRequest &request) {
        this->serveText("HTTP/1.1 " + head + "\r\ncontent-length: 0\r\n\r\n");
        EXPECT_EQ(stageOf(this->exchange(request)), std::nullopt) << head;
        return this->client.idleCount(this->address);
    };
    HttpRequest repeatable { "GET", "/k", { { "x-id", "r1" } }, {} };
    repeatable.identityHeader = "x-id";
    repeatable.requiresIdentity = true;
    repeatable.refusalHeader = "x-not-executed";
    repeatable.refusalValue.clear();
    EXPECT_EQ(idleAfter("503 Full\r\nx-not-executed: 1\r\nx-id: r1", repeatable), 0U);
    EXPECT_EQ(idleAfter("421 Misdirected\r\nx-id: r1", repeatable), 0U);
    EXPECT_EQ(idleAfter("404 None\r\nx-id: r1", repeatable), 1U);
    EXPECT_EQ(idleAfter("200 OK\r\nx-id: r1", repeatable), 1U);
    // The number of an attempt is never sent twice.
    const HttpRequest numbered { "GET", "/k", { { "cassiaroad-request", "7" } }, {} };
    const std::string refusal = "503 Full\r\ncassiaroad-outcome: not-run";
    EXPECT_EQ(idleAfter(refusal + "\r\ncassiaroad-request: 7", numbered), 1U);
    EXPECT_EQ(idleAfter(refusal, numbered), 0U);
    EXPECT_EQ(idleAfter("404 None", numbered), 1U);
    // Entry hosts of other regions send the outcome with each response.
    EXPECT_EQ(idleAfter("200 OK\r\ncassiaroad-outcome: answered", numbered), 1U);
}

TEST_F(HttpClientTest, trimsIdleConnections)
{
    this->serveText("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi");
    for (int i = 0; i < 3; ++i) {
        this->exchange();
    }
    const std::size_t idle = this->client.idleCount(this->address);
    ASSERT_GE(idle, 1U);
    this->client.trimIdle(this->address, idle);
    EXPECT_EQ(this->client.idleCount(this->address), idle);
    this->client.trimIdle(this->address, 0);
    EXPECT_EQ(this->client.idleCount(this->address), 0U);
}

// Guards against a second response that arrives late, on an idle connection (P3).
TEST_F(HttpClientTest, closesIdleConnectionOnWhichBytesArrive)
{
    this->serveText("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi");
    this->exchange();
    ASSERT_EQ(this->client.idleCount(this->address), 1U);
    this->peer->connections[0]->write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong");
    EXPECT_TRUE(waitUntil(this->loop, [&] { return this->client.idleCount(this->address) == 0; }));
    EXPECT_EQ(bodyOf(this->exchange()), "hi");
}

// Guards against bytes that are written although the lease check has failed (section 4).
TEST_F(HttpClientTest, callsCanWriteBeforeTheFirstByteIsWritten)
{
    this->serveText("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi");
    for (int round = 0; round < 2; ++round) {
        std::optional<HttpResult> result;
        const auto call = this->client.send(
                this->address, { "POST", "/k", {}, "x" }, maxResponseBytes,
                [&](HttpResult value) { result = std::move(value); },
                [](const ConnectionState &) { return WriteDecision::CloseConnection; });
        EXPECT_FALSE(result.has_value());
        ASSERT_TRUE(waitUntil(this->loop, [&] { return result.has_value(); }));
        EXPECT_EQ(stageOf(*result), HttpFailure::Stage::Cancelled);
        EXPECT_FALSE(call->isSent());
        if (round == 0) {
            this->exchange(); // the next round gets a connection that is already open
            runFor(this->loop, { 10 });
        }
    }
    for (const auto &connection : this->peer->connections) {
        EXPECT_EQ(connection->received, "");
    }
}

TEST_F(HttpClientTest, closesTheConnectionOfACancelledCall)
{
    this->serve([](FakePeer::Connection &) {});
    auto call = this->client.send(this->address, { "GET", "/k", {}, {} }, maxResponseBytes,
                                  [](HttpResult) { FAIL() << "answered after it was cancelled"; });
    ASSERT_TRUE(waitUntil(this->loop, [&] { return call->isSent(); }));
    call.reset();
    EXPECT_TRUE(waitUntil(this->loop, [&] {
        return this->peer->connections.size() == 1 && this->peer->connections[0]->closedByClient;
    }));
}

// Guards against an unknown outcome of a request that reached no server: one that has too many
// connections accepts the new one and resets it.
TEST_F(HttpClientTest, tellsAConnectionThatIsRefusedFromARequestThatWasSent)
{
    this->serveText("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi");
    HttpRequest request { "POST", "/k", {}, "order" };
    request.confirmsConnection = true;
    this->peer->refusals = 1;
    EXPECT_EQ(stageOf(this->exchange(request)), HttpFailure::Stage::Refused);
    EXPECT_TRUE(this->peer->connections.empty());
    EXPECT_EQ(bodyOf(this->exchange(request)), "hi");
}

// Guards against a call that is given up and reaches the server later, when a link is restored.
TEST_F(HttpClientTest, resetsTheConnectionOfACancelledCallWithADeliveryTimeout)
{
    this->serve([](FakePeer::Connection &) {});
    HttpRequest request { "POST", "/k", {}, "order" };
    request.deliveryTimeout = { 600 };
    auto call = this->client.send(this->address, request, maxResponseBytes, [](HttpResult) {});
    ASSERT_TRUE(waitUntil(this->loop, [&] {
        return !this->peer->connections.empty() && !this->peer->connections[0]->received.empty();
    }));
    call.reset();
    EXPECT_TRUE(waitUntil(this->loop, [&] { return this->peer->connections[0]->resetByClient; }));
}

// Guards against a second copy of a response that arrives on an idle connection just before it is
// used again, when the loop has not read it yet, and is taken for the response to the next request.
TEST_F(HttpClientTest, reusesNoConnectionWithUnreadBytes)
{
    std::string body = "1";
    this->serve([&](FakePeer::Connection &connection) {
        connection.received.clear();
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n" + body);
    });
    ASSERT_EQ(bodyOf(this->exchange()), "1");
    runFor(this->loop, { 20 });
    this->peer->connections[0]->write("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1");
    body = "2";
    EXPECT_EQ(bodyOf(this->exchange()), "2");
    EXPECT_EQ(this->peer->connections.size(), 2U);
}

TEST_F(HttpClientTest, closesIdleConnectionsByAge)
{
    this->serveText("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi");
    this->exchange();
    const TimePoint opened = this->loop.now();
    this->client.closeIdle(this->address, opened - Milliseconds { 60000 });
    EXPECT_EQ(this->client.idleCount(this->address), 1U);
    this->client.closeIdle(this->address, opened + Milliseconds { 1 });
    EXPECT_EQ(this->client.idleCount(this->address), 0U);
    this->exchange();
    this->client.closeIdleLongerThan({ 60000 });
    EXPECT_EQ(this->client.idleCount(this->address), 1U);
    this->client.closeIdleLongerThan({ 0 });
    EXPECT_EQ(this->client.idleCount(this->address), 0U);
}

// Guards against unbounded memory use by the response of a faulty upstream.
TEST_F(HttpClientTest, limitsTheSizeOfAResponse)
{
    this->serveText("HTTP/1.1 200 OK\r\ncontent-length: 2000000\r\n\r\n"
                    + std::string(1200000, 'x'));
    EXPECT_EQ(stageOf(this->exchange()), HttpFailure::Stage::ResponseTruncated);
}

// Guards against a silent connection that counts as making progress (section 6.3).
TEST_F(HttpClientTest, reportsTheTimeOfTheLastProgress)
{
    this->serve([](FakePeer::Connection &connection) {
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart");
    });
    const auto call = this->client.send(this->address, { "GET", "/k", {}, {} }, maxResponseBytes,
                                        [](HttpResult) {});
    runFor(this->loop, { 50 });
    const TimePoint last = call->lastProgress();
    runFor(this->loop, { 50 });
    EXPECT_EQ(call->lastProgress(), last);
    this->peer->connections[0]->write("more");
    EXPECT_TRUE(waitUntil(this->loop, [&] { return call->lastProgress() > last; }));
}

// Guards against a copy of a large body for each attempt to send a request.
TEST(HttpRequest, sharesItsBodyWithItsCopies)
{
    HttpRequest request;
    request.body = std::string(1000, 'b');
    const HttpRequest copy = request;
    EXPECT_EQ(copy.body.data(), request.body.data());
    EXPECT_EQ(copy, request);
}
