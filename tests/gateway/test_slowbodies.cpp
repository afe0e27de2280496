#include "gatewayrequesttest.h"

using namespace cassiaroad;

namespace {

class SlowBodyTest : public GatewayRequestTest
{
protected:
    /** Sends a request with @p deadline whose body of four bytes is missing. */
    std::unique_ptr<RawClient> begin(const std::string &deadline)
    {
        auto client = std::make_unique<RawClient>(this->callers.port());
        client->write("POST /order/1 HTTP/1.1\r\nhost: maps.example\r\nx-id: r1\r\nx-deadline: "
                      + deadline + "\r\nx-key: 7\r\ncontent-length: 4\r\n\r\n");
        return client;
    }
};

} // namespace

// Guards against a request that has its whole deadline again after its body has arrived slowly.
TEST_F(SlowBodyTest, countsTheDeadlineFromTheArrivalOfTheHead)
{
    this->serve([](FakePeer::Connection &) {});
    const auto client = this->begin("1000");
    runFor(this->loop, { 600 });
    client->write("abcd");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 504", { 700 }));
    ASSERT_FALSE(this->peer->connections.empty());
    const std::string &received = this->peer->connections.back()->received;
    const std::size_t at = received.find("x-deadline: ");
    ASSERT_NE(at, std::string::npos);
    EXPECT_LE(std::stoi(received.substr(at + 12)), 400);
}

// Guards against an upstream that runs a request whose client no longer waits for it.
TEST_F(SlowBodyTest, sendsNoRequestWhoseBodyArrivesAfterItsDeadline)
{
    this->serve([](FakePeer::Connection &) {});
    const auto client = this->begin("300");
    runFor(this->loop, { 500 });
    client->write("abcd");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503", { 200 }));
    EXPECT_TRUE(this->peer->connections.empty());
}

// Guards against a pipelined request whose deadline begins when the second half of its body comes.
TEST_F(SlowBodyTest, countsTheDeadlineOfAPipelinedRequestFromItsHead)
{
    this->serve([](FakePeer::Connection &) {});
    RawClient client(this->callers.port());
    client.write("GET /none HTTP/1.1\r\nhost: maps.example\r\n\r\n"
                 "POST /order/1 HTTP/1.1\r\nhost: maps.example\r\nx-id: r1\r\nx-deadline: 1000\r\n"
                 "x-key: 7\r\ncontent-length: 4\r\n\r\nab");
    ASSERT_TRUE(this->waitForResponse(client, "HTTP/1.1 404"));
    runFor(this->loop, { 600 });
    client.write("cd");
    EXPECT_TRUE(this->waitForResponse(client, "HTTP/1.1 504", { 700 }));
}

// Guards against an HTTP/2 request whose deadline begins when its body is complete.
TEST_F(SlowBodyTest, countsTheDeadlineOfAnHttp2RequestFromItsHead)
{
    this->serve([](FakePeer::Connection &) {});
    RawClient client(this->callers.port());
    client.write(std::string_view("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 33));
    std::string head("\x83\x86\x44\x08/order/1\x41\x0cmaps.example", 26);
    for (const auto &[name, value] :
         { std::pair { "x-id", "r1" }, { "x-key", "7" }, { "x-deadline", "1000" } }) {
        head += '\0'; // a literal header field without indexing
        for (const std::string text : { name, value }) {
            head += static_cast<char>(text.size());
            head += text;
        }
    }
    client.write(std::string("\0\0", 2) + static_cast<char>(head.size())
                 + std::string("\1\4\0\0\0\1", 6) + head);
    runFor(this->loop, { 600 });
    client.write(std::string_view("\0\0\4\0\1\0\0\0\1abcd", 13));
    ASSERT_TRUE(waitUntil(this->loop, [&] {
        return !this->peer->connections.empty() && !this->peer->connections[0]->received.empty();
    }));
    const std::string &received = this->peer->connections[0]->received;
    const std::size_t at = received.find("x-deadline: ");
    ASSERT_NE(at, std::string::npos) << received;
    EXPECT_LE(std::stoi(received.substr(at + 12)), 400);
}
