#include "connection/requesthead.h"
#include "connection/requestmemory.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

} // namespace

// Guards against requests that together hold more than the bound.
TEST(RequestMemory, refusesWhatDoesNotFit)
{
    RequestMemory memory(8 * megabyte);
    EXPECT_TRUE(memory.resize(0, 4 * megabyte));
    EXPECT_FALSE(memory.resize(0, 4 * megabyte));
    EXPECT_EQ(memory.usedBytes(), 4 * megabyte);
    EXPECT_TRUE(memory.resize(4 * megabyte, 0));
    EXPECT_TRUE(memory.resize(0, 4 * megabyte));
}

// Guards against large requests that leave no room for small ones.
TEST(RequestMemory, keepsAShareForSmallRequests)
{
    RequestMemory memory(8 * megabyte);
    EXPECT_TRUE(memory.resize(0, 7 * megabyte));
    EXPECT_FALSE(memory.resize(0, RequestMemory::smallRequestBytes + 1));
    EXPECT_TRUE(memory.resize(0, RequestMemory::smallRequestBytes));
    EXPECT_LE(memory.usedBytes(), 8 * megabyte);
}

// Guards against a request that waits for room that never comes.
TEST(RequestMemory, tellsWhatNeverFits)
{
    const RequestMemory memory(8 * megabyte);
    EXPECT_TRUE(memory.canFit(7 * megabyte));
    EXPECT_FALSE(memory.canFit(7 * megabyte + 1));
}

// Guards against a request that must shrink but is refused, because the bound is reached.
TEST(RequestMemory, canAlwaysShrink)
{
    RequestMemory memory(megabyte);
    EXPECT_TRUE(memory.resize(0, 700 * kilobyte));
    EXPECT_TRUE(memory.resize(0, 200 * kilobyte));
    EXPECT_TRUE(memory.resize(700 * kilobyte, 600 * kilobyte));
    EXPECT_EQ(memory.usedBytes(), 800 * kilobyte);
}

// Guards against a single request that is refused for ever though nothing else is held, and against
// one that takes the memory that others use.
TEST(RequestMemory, holdsOneLargestRequestApartWhileOthersTakeLittle)
{
    RequestMemory memory(8 * megabyte, 20 * megabyte);
    EXPECT_TRUE(memory.canFit(20 * megabyte));
    EXPECT_FALSE(memory.canFit(20 * megabyte + 1));
    EXPECT_TRUE(memory.resize(0, 2 * megabyte));
    EXPECT_FALSE(memory.holdApart(0, 20 * megabyte));
    EXPECT_EQ(memory.missingFor(20 * megabyte), megabyte);
    EXPECT_TRUE(memory.resize(2 * megabyte, megabyte));
    EXPECT_FALSE(memory.holdApart(0, 20 * megabyte + 1));
    EXPECT_TRUE(memory.holdApart(0, 15 * megabyte));
    EXPECT_TRUE(memory.resizeApart(20 * megabyte));
    EXPECT_FALSE(memory.resizeApart(20 * megabyte + 1));
    EXPECT_FALSE(memory.holdApart(0, 15 * megabyte));
    EXPECT_EQ(memory.usedBytes(), 21 * megabyte);
}

// Guards against requests that grow beside one that takes nearly all memory, and against a bound
// that stays low after it.
TEST(RequestMemory, leavesLittleToOthersBesideTheLargestRequest)
{
    RequestMemory memory(8 * megabyte, 20 * megabyte);
    ASSERT_TRUE(memory.holdApart(0, 20 * megabyte));
    EXPECT_FALSE(memory.resize(0, megabyte));
    EXPECT_TRUE(memory.resize(0, RequestMemory::smallRequestBytes));
    EXPECT_TRUE(memory.resize(0, 512 * kilobyte));
    EXPECT_TRUE(memory.isShort());
    memory.endApart(0);
    EXPECT_FALSE(memory.isShort());
    EXPECT_TRUE(memory.resize(0, 6 * megabyte));
}

// Guards against a length that is read differently from how h2o reads it.
TEST(RequestHead, tellsTheLengthOfTheBody)
{
    EXPECT_EQ(contentLength("GET / HTTP/1.1\r\nhost: x\r\n\r\n"), 0U);
    EXPECT_EQ(contentLength("POST / HTTP/1.1\r\nContent-Length: 12\r\n\r\n"), 12U);
    EXPECT_EQ(contentLength("POST / HTTP/1.1\r\ncontent-length:\t12 \r\nx: 3\r\n\r\n"), 12U);
    EXPECT_EQ(contentLength("POST / HTTP/1.1\ncontent-length:12\n\n"), 12U);
    EXPECT_EQ(contentLength("POST / HTTP/1.1\r\ncontent-length: 1x\r\n\r\n"), std::nullopt);
    EXPECT_EQ(contentLength("POST / HTTP/1.1\r\ncontent-length:\r\n\r\n"), std::nullopt);
    EXPECT_EQ(contentLength("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"), std::nullopt);
    EXPECT_EQ(contentLength("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n"
                            "\r\n"),
              std::nullopt);
}

// Guards against a head whose end is missed, so that a valid request is refused as too long.
TEST(RequestHead, tellsWhereTheHeadEnds)
{
    EXPECT_EQ(findHeadEnd("GET / HTTP/1.1\r\n\r\nbody"), 18U);
    EXPECT_EQ(findHeadEnd("GET / HTTP/1.1\n\nbody"), 16U);
    EXPECT_EQ(findHeadEnd("GET / HTTP/1.1\r\nhost: x\r\n"), 0U);
    EXPECT_EQ(findHeadEnd(""), 0U);
}
