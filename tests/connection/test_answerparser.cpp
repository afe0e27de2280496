#include "connection/answerparser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

constexpr std::size_t maxBody = 1000;

AnswerParser::State parse(AnswerParser &parser, const std::string &text)
{
    AnswerParser::State state = AnswerParser::State::Head;
    for (const char byte : text) {
        state = parser.feed({ &byte, 1 });
        if (state == AnswerParser::State::Complete || state == AnswerParser::State::Invalid) {
            break;
        }
    }
    return state;
}

AnswerParser::State stateOf(const std::string &text)
{
    AnswerParser parser(false, maxBody);
    return parse(parser, text);
}

} // namespace

TEST(AnswerParser, readsAnAnswerByteByByte)
{
    AnswerParser parser(false, maxBody);
    EXPECT_EQ(parse(parser, "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 3\r\n\r\nabc"),
              AnswerParser::State::Complete);
    EXPECT_EQ(parser.answer().status, 200);
    EXPECT_EQ(parser.answer().body, "abc");
    EXPECT_EQ(parser.answer().headers.front(), std::pair(std::string("x-a"), std::string("b")));
    EXPECT_TRUE(parser.keepsConnection());
    EXPECT_FALSE(parser.hasTrailingBytes());
}

TEST(AnswerParser, readsChunksAndPassesOverInterimAnswers)
{
    AnswerParser parser(false, maxBody);
    EXPECT_EQ(parse(parser, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
              AnswerParser::State::Complete);
    EXPECT_EQ(parser.answer().body, "abc");
    EXPECT_TRUE(parser.isChunked());
}

// Guards against a second answer that is taken for that of the next request.
TEST(AnswerParser, noticesBytesAfterTheEnd)
{
    AnswerParser parser(false, maxBody);
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n";
    EXPECT_EQ(parser.feed(text), AnswerParser::State::Complete);
    EXPECT_TRUE(parser.hasTrailingBytes());
}

// Guards against broken answers that look whole, and against a process that ends on them.
TEST(AnswerParser, refusesAnswersWithoutAProvableEnd)
{
    const std::string head = "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n";
    EXPECT_EQ(stateOf(head + "\r\nabc"), AnswerParser::State::Invalid);
    EXPECT_EQ(stateOf(head + "Content-Length: x\r\n\r\nabc"), AnswerParser::State::Invalid);
    EXPECT_EQ(stateOf(head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc"),
              AnswerParser::State::Invalid);
    EXPECT_EQ(stateOf(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"),
              AnswerParser::State::Invalid);
    EXPECT_EQ(stateOf(head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
              AnswerParser::State::Invalid);
    EXPECT_EQ(stateOf("HTTP/1.1 101 Switching Protocols\r\n\r\n"), AnswerParser::State::Invalid);
    EXPECT_EQ(stateOf("garbage\r\n\r\n"), AnswerParser::State::Invalid);
    EXPECT_EQ(stateOf(head + "Content-Length: 3\r\n\r\nab"), AnswerParser::State::Body);
}

TEST(AnswerParser, boundsTheBody)
{
    AnswerParser parser(false, 2);
    EXPECT_EQ(parse(parser, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"),
              AnswerParser::State::Invalid);
}

TEST(AnswerParser, expectsNoBodyOfHead)
{
    AnswerParser parser(true, maxBody);
    EXPECT_EQ(parse(parser, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"),
              AnswerParser::State::Complete);
}

// Guards against a peer whose bytes end the process.
RC_GTEST_PROP(AnswerParser, acceptsAnyBytes, (const std::vector<std::string> &pieces))
{
    AnswerParser parser(false, maxBody);
    AnswerParser::State state = parser.feed("HTTP/1.1 200 OK\r\n");
    for (const std::string &piece : pieces) {
        if (state == AnswerParser::State::Complete || state == AnswerParser::State::Invalid) {
            break;
        }
        state = parser.feed(piece);
    }
}
