#include "gatewayrequesttest.h"

#include <algorithm>

using namespace cassiaroad;

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

// Guards against an order that is placed twice: its upstream ran it and answered with a status by
// which the client believes that it has not run (REFUSED).
TEST_F(GatewayRequestTest, forwardsNoPromiseThatTheUpstreamHasNotMade)
{
    for (const std::string path : { "/order/", "/file/" }) {
        for (const std::string status : { "503 Down", "429 Many", "408 Slow" }) {
            ++this->born;
            int requests = 0;
            this->serve([&](FakePeer::Connection &connection) {
                ++requests;
                const std::string received = std::exchange(connection.received, {});
                connection.write(withRequestId(received, "HTTP/1.1 " + status + "\r\n")
                                 + "retry-after: 1\r\ncontent-length: 5\r\n\r\nsorry");
            });
            const auto client = this->request("POST", path + std::to_string(this->born));
            EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502", { 2000 })) << path << status;
            EXPECT_EQ(client->received().find("sorry"), std::string::npos) << path << status;
            EXPECT_EQ(requests, 1) << path << status;
        }
    }
}

// Guards against hiding what an upstream answers to a request that promises nothing to its client,
// or that may run twice.
TEST_F(GatewayRequestTest, forwardsFailuresThatPromiseNothing)
{
    for (const auto &[method, path, status] :
         { std::tuple("POST", "/order/", "500 Down"), std::tuple("POST", "/order/", "504 Late"),
           std::tuple("GET", "/read/", "503 Down"), std::tuple("GET", "/read/", "429 Many") }) {
        ++this->born;
        this->serve([&, text = std::string(status)](FakePeer::Connection &connection) {
            const std::string received = std::exchange(connection.received, {});
            connection.write(withRequestId(received, "HTTP/1.1 " + text + "\r\n")
                             + "content-length: 4\r\n\r\ndown");
        });
        const auto client = this->request(method, path + std::to_string(this->born));
        EXPECT_TRUE(this->waitForResponse(*client, "down", { 2000 })) << path << status;
        EXPECT_EQ(client->received().find(std::string("HTTP/1.1 ")
                                          + std::string(status).substr(0, 3)),
                  0U)
                << path << status;
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
