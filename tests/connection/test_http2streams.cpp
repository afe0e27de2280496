#include "connection/http2streams.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

using namespace cassiaroad;

namespace {

const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

constexpr char data = 0;
constexpr char headers = 1;
constexpr char priority = 2;
constexpr char reset = 3;
constexpr char endStream = 1;
constexpr std::size_t bodyBytes = 100000;

std::string frame(char kind, char flags, std::uint32_t stream, std::size_t size)
{
    std::string text;
    for (const std::size_t part : { size >> 16U, size >> 8U, size }) {
        text.push_back(static_cast<char>(part));
    }
    text.push_back(kind);
    text.push_back(flags);
    for (const std::uint32_t part : { stream >> 24U, stream >> 16U, stream >> 8U, stream }) {
        text.push_back(static_cast<char>(part));
    }
    return text + std::string(size, 'x');
}

} // namespace

// Guards against bodies over HTTP/2 that nobody counts.
TEST(Http2Streams, countsBodiesUntilTheirStreamsEnd)
{
    Http2Streams streams;
    streams.receive(preface + frame(headers, 0, 1, 50) + frame(data, 0, 1, bodyBytes));
    EXPECT_GE(streams.heldBytes(), bodyBytes);
    EXPECT_EQ(streams.incompleteBytes(), streams.heldBytes());
    const std::size_t one = streams.heldBytes();
    streams.receive(frame(headers, 0, 3, 50) + frame(data, endStream, 3, bodyBytes));
    EXPECT_EQ(streams.heldBytes(), 2 * one);
    EXPECT_EQ(streams.incompleteBytes(), one);
    streams.end(3);
    EXPECT_EQ(streams.heldBytes(), one);
    streams.receive(frame(reset, 0, 1, 4));
    EXPECT_EQ(streams.heldBytes(), 0U);
    EXPECT_EQ(streams.incompleteBytes(), 0U);
}

// Guards against a count that grows with frames that h2o does not keep.
TEST(Http2Streams, ignoresFramesWithoutAnOpenStream)
{
    Http2Streams streams;
    streams.receive(preface + frame(priority, 0, 7, 5) + frame(data, 0, 9, 1000)
                    + frame(headers, endStream, 5, 0));
    streams.end(5);
    streams.receive(frame(data, 0, 5, 1000) + frame(headers, 0, 3, 1000));
    EXPECT_EQ(streams.heldBytes(), 0U);
    EXPECT_EQ(streams.incompleteBytes(), 0U);
}

// Guards against a client of HTTP/1.1 that counts as one of HTTP/2.
TEST(Http2Streams, knowsThePreface)
{
    EXPECT_TRUE(Http2Streams::isPreface(preface));
    EXPECT_TRUE(Http2Streams::isPreface("PRI * HTTP/2"));
    EXPECT_FALSE(Http2Streams::isPreface("PRI * HTTP/"));
    EXPECT_FALSE(Http2Streams::isPreface("PUT / HTTP/1.1\r\n"));
}

// Guards against frames that are misread where a piece ends.
RC_GTEST_PROP(Http2StreamsProperties, doNotDependOnThePieces, ())
{
    const std::string text = preface + frame(headers, 0, 1, 300) + frame(data, 0, 1, 70000)
                             + frame(headers, endStream, 3, 20) + frame(data, endStream, 1, 0);
    Http2Streams whole;
    whole.receive(text);
    Http2Streams pieces;
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 9000);
        pieces.receive(rest.substr(0, size));
        rest.remove_prefix(std::min(size, rest.size()));
    }
    RC_ASSERT(pieces.heldBytes() == whole.heldBytes());
    RC_ASSERT(pieces.incompleteBytes() == 0U);
}
