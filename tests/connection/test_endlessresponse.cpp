/**
 * Servers in trouble that send bytes without end, in the head or in the body of a response, until
 * the client closes the connection. They must cost bounded time and memory.
 */
#include "connection/httpclient.h"
#include "connection/responsememory.h"
#include "connection/responseparser.h"

#include "support/fakepeer.h"
#include "support/fastserver.h"
#include "support/loopwait.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace cassiaroad;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
const std::string chunkedHead = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/** Bytes that never become a complete response: a beginning, and a piece that repeats. */
struct EndlessBytes
{
    const char *description;
    std::string beginning;
    std::string piece;
};

const std::vector<EndlessBytes> endlessBytes {
    { "empty lines", "", "\r\n" },
    { "a status line", "HTTP/1.1 200 ", "O" },
    { "a header name", "HTTP/1.1 200 OK\r\n", "x" },
    { "a header value", "HTTP/1.1 200 OK\r\nx: ", "y" },
    { "headers", "HTTP/1.1 200 OK\r\n", "a: b\r\n" },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "a chunk size", chunkedHead, "0" },
    { "a chunk extension", chunkedHead + "5;", "e" },
    { "trailers", chunkedHead + "0\r\n", "a: b\r\n" },
    { "small chunks", chunkedHead, "1\r\na\r\n" },
    { "a body of a known length", "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "a" },
    { "bytes in no protocol", "", "?" },
};

/** A peer that answers each request with bytes without end, as fast as they are read. */
class EndlessPeer
{
public:
    EndlessPeer(EventLoop &loop, std::string head)
        : peer(loop, [head = std::move(head)](
                             FakePeer::Connection &connection) { connection.write(head); })
        , timer(loop.callEvery({ 1 }, [this] { this->writeMore(); }))
    { }

    HostAddress address() const { return { "127.0.0.1", this->peer.port }; }

private:
    void writeMore()
    {
        const std::string bytes(256 * kilobyte, 'a');
        for (const auto &connection : this->peer.connections) {
            if (!connection->received.empty()) {
                connection->write(bytes);
            }
        }
    }

    FakePeer peer;
    EventLoop::Timer timer;
};

} // namespace

// Guards against a parser that reads a head or a body without end.
TEST(EndlessResponse, isInvalidAfterABoundedNumberOfBytes)
{
    constexpr std::size_t maxBody = 100 * kilobyte;
    constexpr std::size_t maxBytes = megabyte; // of the connection, with the framing of chunks
    for (const EndlessBytes &endless : endlessBytes) {
        ResponseParser parser(false, maxBody);
        ResponseParser::State state = ResponseParser::State::Head;
        if (!endless.beginning.empty()) {
            state = parser.feed(endless.beginning);
        }
        std::size_t bytes = 0;
        while (state != ResponseParser::State::Invalid && bytes < maxBytes) {
            state = parser.feed(endless.piece);
            bytes += endless.piece.size();
        }
        EXPECT_EQ(state, ResponseParser::State::Invalid) << endless.description;
        EXPECT_LE(parser.response().body.size(), maxBody) << endless.description;
    }
}

// Guards against a response that is read although its length already tells that it is too large.
TEST(EndlessResponse, isInvalidOnceItsLengthIsKnown)
{
    ResponseParser parser(false, megabyte);
    EXPECT_EQ(parser.feed("HTTP/1.1 200 OK\r\ncontent-length: 1048577\r\n\r\n"),
              ResponseParser::State::Invalid);
}

// Guards against a process that runs out of memory because many calls at once get bodies without
// end, each of them below the bound of one response.
TEST(EndlessResponse, sharesABoundOfMemoryWithAllOthers)
{
    constexpr std::size_t callCount = 12;
    constexpr std::size_t maxResponse = 64 * megabyte;
    constexpr std::size_t maxBuffered = 32 * megabyte;
    EventLoop loop;
    EndlessPeer peer(loop, chunkedHead + "7fffffff\r\n");
    HttpClient client(loop);
    std::vector<std::unique_ptr<HttpClient::Call>> calls;
    std::size_t failed = 0;
    for (std::size_t i = 0; i < callCount; ++i) {
        HttpRequest request;
        request.method = "GET";
        request.path = "/";
        calls.push_back(client.send(peer.address(), request, maxResponse, [&](HttpResult result) {
            failed += std::holds_alternative<HttpFailure>(result) ? 1 : 0;
        }));
    }
    std::size_t buffered = 0;
    EXPECT_TRUE(waitUntil(loop, [&] {
        buffered = std::max(buffered, client.bufferedBytes());
        return failed == callCount;
    }));
    EXPECT_LE(buffered, maxBuffered);
    EXPECT_EQ(client.bufferedBytes(), 0U);
}

// Guards against heads that are held outside the bound of all incomplete responses.
TEST(EndlessResponse, countsHeadsInTheBoundOfMemory)
{
    constexpr std::size_t callCount = 40;
    constexpr std::size_t headBytes = 70 * kilobyte;
    const std::string head = "HTTP/1.1 200 OK\r\nx: " + std::string(headBytes, 'y');
    EventLoop loop;
    FakePeer peer(loop, [&](FakePeer::Connection &connection) { connection.write(head); });
    HttpClient client(loop);
    std::vector<std::unique_ptr<HttpClient::Call>> calls;
    for (std::size_t i = 0; i < callCount; ++i) {
        HttpRequest request;
        request.method = "GET";
        request.path = "/";
        calls.push_back(client.send({ "127.0.0.1", peer.port }, request, megabyte,
                                    [](const HttpResult &) {}));
    }
    EXPECT_TRUE(waitUntil(loop, [&] { return client.bufferedBytes() >= callCount * headBytes; },
                          { 2000 }));
    calls.clear();
    EXPECT_EQ(client.bufferedBytes(), 0U);
}

// Guards against heads below the limit of bytes whose many short header lines take a hundred times
// that limit in memory.
TEST(EndlessResponse, isInvalidAfterABoundedNumberOfHeaders)
{
    constexpr std::size_t maxHeaders = 256;
    ResponseParser parser(false, megabyte);
    ResponseParser::State state = parser.feed("HTTP/1.1 200 OK\r\n");
    for (std::size_t i = 0; i <= maxHeaders && state != ResponseParser::State::Invalid; ++i) {
        state = parser.feed("a:\r\n");
    }
    EXPECT_EQ(state, ResponseParser::State::Invalid);
    EXPECT_LE(parser.response().headers.size(), maxHeaders);
}

// Guards against a client that reads as long as a fast server sends, before it looks at the bytes.
TEST(EndlessResponse, isReadInPiecesOfABoundedSize)
{
    constexpr std::size_t maxResponse = 24 * megabyte;
    constexpr std::size_t maxPiece = 512 * kilobyte; // of one iteration of the loop
    EventLoop loop;
    FastServer server(chunkedHead + "7fffffff\r\n");
    HttpClient client(loop);
    HttpRequest request;
    request.method = "GET";
    request.path = "/";
    bool failed = false;
    const auto call = client.send({ "127.0.0.1", server.port }, request, maxResponse,
                                  [&](const HttpResult &) { failed = true; });
    std::size_t before = 0;
    std::size_t largestPiece = 0;
    EventLoop::Timer timer;
    const std::function<void()> observe = [&] {
        const std::size_t after = client.bufferedBytes();
        largestPiece = std::max(largestPiece, after - std::min(before, after));
        before = after;
        timer = loop.callAfter({}, observe); // in the next iteration
    };
    observe();
    EXPECT_TRUE(waitUntil(loop, [&] { return failed; }));
    EXPECT_GT(largestPiece, 0U);
    EXPECT_LE(largestPiece, maxPiece);
}

// Guards against small responses that fail because endless ones have used up the memory.
TEST(ResponseMemory, leavesRoomForSmallResponses)
{
    ResponseMemory memory(1000);
    std::vector<std::size_t> endless(5, 0);
    for (int round = 0; round < 100; ++round) {
        for (std::size_t &size : endless) {
            const std::size_t larger = std::max(size, std::min(size + 10, memory.maxSizeOf(size)));
            memory.resize(size, larger);
            size = larger;
        }
    }
    EXPECT_LE(memory.usedBytes(), 1000U);
    EXPECT_GE(memory.maxSizeOf(0), 50U);
}
