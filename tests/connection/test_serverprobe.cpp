#include "connection/httpclient.h"

#include "support/fakepeer.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr std::size_t maxResponseBytes = 1 << 20;
const std::string okHead = "HTTP/1.1 200 OK\r\n";
const std::string noBody = "content-length: 0\r\n\r\n";

/** A server that answers probes with `health`, and other requests with 200; and a client. */
class ServerProbeTest : public testing::Test
{
protected:
    ServerProbeTest()
        : peer(loop, [this](FakePeer::Connection &connection) {
            if (connection.received.find("\r\n\r\n") == std::string::npos) {
                return;
            }
            this->last = std::exchange(connection.received, {});
            const std::string &received = this->last;
            const bool isProbe = received.find("GET /health ") == 0;
            this->log += isProbe ? "probe " : "request ";
            if (isProbe && this->health.empty()) {
                connection.disconnect();
                return;
            }
            connection.write(isProbe ? this->health : okHead + noBody);
        })
    { }

    HttpRequest request() const
    {
        HttpRequest built { "GET", "/k", {}, {} };
        built.probe = { "/health", "server", "x-warm" };
        return built;
    }

    // Sends a request; `decision` is what is decided of its first byte.
    HttpResult exchange(const HttpRequest &sent)
    {
        std::optional<HttpResult> result;
        const auto call = this->client.send(
                { "127.0.0.1", this->peer.port }, sent, maxResponseBytes,
                [&](HttpResult value) { result = std::move(value); },
                [this](const ConnectionState &connection) {
                    this->state = connection;
                    return this->decision;
                });
        if (!waitUntil(this->loop, [&] { return result.has_value(); })) {
            return HttpFailure { HttpFailure::Stage::Sent, "test timeout" };
        }
        runFor(this->loop, { 20 }); // until the connection may be used again
        return *result;
    }

    static std::optional<HttpFailure::Stage> stageOf(const HttpResult &result)
    {
        const auto *failure = std::get_if<HttpFailure>(&result);
        return failure != nullptr ? std::optional(failure->stage) : std::nullopt;
    }

    Milliseconds warmIn() const { return *this->state.warmAt - this->loop.now(); }

    EventLoop loop;
    HttpClient client { loop };
    std::string health = okHead + noBody; // response to probes; empty: closes the connection
    std::string log; // what has reached the server
    std::string last; // the bytes that have reached it last
    WriteDecision decision = WriteDecision::Write;
    ConnectionState state; // of the connection that was asked about last
    FakePeer peer;
};

} // namespace

// Guards against requests that reach a server which has just started and is cold.
TEST_F(ServerProbeTest, asksANewConnectionBeforeTheRequest)
{
    this->health = okHead + "x-warm: 5000\r\n" + noBody;
    EXPECT_EQ(stageOf(this->exchange(this->request())), std::nullopt);
    EXPECT_EQ(this->log, "probe request ");
    EXPECT_EQ(this->peer.connections.size(), 1U);
    EXPECT_GT(this->warmIn(), Milliseconds { 4000 });
    EXPECT_LE(this->warmIn(), Milliseconds { 5000 });
}

// Guards against a request on a kept connection whose server was cold when it was opened.
TEST_F(ServerProbeTest, keepsWhatAConnectionHasTold)
{
    this->health = okHead + "x-warm: 5000\r\n" + noBody;
    this->exchange(this->request());
    const ConnectionState first = this->state;
    this->health = okHead + noBody;
    this->exchange(this->request());
    EXPECT_EQ(this->log, "probe request request ");
    EXPECT_EQ(this->state, first);
}

// Guards against a warm server that gets nothing, and a cold one that gets too much since its
// header cannot be read.
TEST_F(ServerProbeTest, takesAServerWithoutTheHeaderAsWarm)
{
    this->exchange(this->request());
    EXPECT_LE(this->warmIn(), Milliseconds {});
    this->client.trimIdle({ "127.0.0.1", this->peer.port }, 0);
    this->health = okHead + "x-warm: soon\r\n" + noBody;
    this->exchange(this->request());
    EXPECT_GT(this->warmIn(), Milliseconds {});
}

// Guards against a new connection for each request that may not be written.
TEST_F(ServerProbeTest, leavesTheConnectionOfACancelledCallToOthers)
{
    this->decision = WriteDecision::KeepConnection;
    EXPECT_EQ(stageOf(this->exchange(this->request())), HttpFailure::Stage::Cancelled);
    EXPECT_EQ(stageOf(this->exchange(this->request())), HttpFailure::Stage::Cancelled);
    this->decision = WriteDecision::Write;
    EXPECT_EQ(stageOf(this->exchange(this->request())), std::nullopt);
    EXPECT_EQ(this->log, "probe request ");
    EXPECT_EQ(this->peer.connections.size(), 1U);
    this->decision = WriteDecision::CloseConnection;
    EXPECT_EQ(stageOf(this->exchange(this->request())), HttpFailure::Stage::Cancelled);
    EXPECT_EQ(this->client.idleCount({ "127.0.0.1", this->peer.port }), 0U);
}

// Guards against a request that is given up since its server closes some connections.
TEST_F(ServerProbeTest, asksOnAnotherConnectionIfTheServerClosesOne)
{
    this->health = okHead + "connection: close\r\n" + noBody;
    EXPECT_EQ(stageOf(this->exchange(this->request())), HttpFailure::Stage::Connect);
    EXPECT_EQ(this->log, "probe probe probe ");
}

// Guards against a server that is full and is taken for one that has got the request.
TEST_F(ServerProbeTest, tellsAConnectionThatIsClosedInsteadOfAResponse)
{
    this->health.clear();
    EXPECT_EQ(stageOf(this->exchange(this->request())), HttpFailure::Stage::Refused);
    this->health = okHead + noBody;
    this->peer.refusals = 1;
    EXPECT_EQ(stageOf(this->exchange(this->request())), HttpFailure::Stage::Refused);
    EXPECT_EQ(this->log, "probe ");
    EXPECT_EQ(stageOf(this->exchange(this->request())), std::nullopt);
}

// Guards against bytes that are no response, in the place of one or behind it.
TEST_F(ServerProbeTest, writesNoRequestAfterAnInvalidResponse)
{
    const std::string endlessHead = okHead + "x: " + std::string(100000, 'x');
    const std::string twice = okHead + noBody + okHead + noBody;
    const std::string chunked = okHead + "transfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    for (const std::string &text :
         { std::string("garbage\r\n\r\n"), endlessHead, twice, chunked }) {
        this->health = text;
        EXPECT_NE(stageOf(this->exchange(this->request())), std::nullopt);
    }
    EXPECT_EQ(this->log.find("request"), std::string::npos);
}

// Guards against callbacks after a call was destroyed while its server had not answered the probe.
TEST_F(ServerProbeTest, canBeDestroyedWhileItWaits)
{
    this->health = "HTTP/1.1 100 Continue\r\n\r\n"; // the response does not come
    auto call = this->client.send({ "127.0.0.1", this->peer.port }, this->request(),
                                  maxResponseBytes, [](HttpResult) { FAIL(); });
    ASSERT_TRUE(waitUntil(this->loop, [this] { return !this->log.empty(); }));
    EXPECT_FALSE(call->isSent());
    call.reset();
    EXPECT_TRUE(
            waitUntil(this->loop, [this] { return this->peer.connections[0]->closedByClient; }));
}

// Guards against a server that takes a request for longer than its client waits, since time has
// passed between the beginning of the call and its first byte.
TEST_F(ServerProbeTest, tellsTheTimeThatIsLeftWhenTheRequestIsWritten)
{
    const std::string response = std::exchange(this->health, "HTTP/1.1 100 Continue\r\n\r\n");
    HttpRequest request = this->request();
    request.deadline = { "x-left", this->loop.now() + Milliseconds { 1000 } };
    bool isDone = false;
    const auto call = this->client.send({ "127.0.0.1", this->peer.port }, request, maxResponseBytes,
                                        [&](const HttpResult &) { isDone = true; });
    runFor(this->loop, { 300 });
    this->peer.connections.at(0)->write(response);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return isDone; }));
    const std::size_t at = this->last.find("x-left: ");
    ASSERT_NE(at, std::string::npos);
    EXPECT_LE(std::stoi(this->last.substr(at + 8)), 700);
    EXPECT_GT(std::stoi(this->last.substr(at + 8)), 0);
}

// Guards against probes of servers that are never cold.
TEST_F(ServerProbeTest, asksOnlyIfARequestDemandsIt)
{
    HttpRequest plain = this->request();
    plain.probe.reset();
    this->exchange(plain);
    EXPECT_EQ(this->log, "request ");
    EXPECT_EQ(this->state.warmAt, std::nullopt);
}
