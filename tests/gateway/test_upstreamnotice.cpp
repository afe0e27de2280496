#include "gateway/upstreamnotice.h"

#include "request/hopheaders.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

ExternalHeaders headerNames()
{
    ExternalHeaders names;
    names.upstreamLeaving = "x-leaving";
    return names;
}

UpstreamNotice noticeOf(int status, const Headers &headers)
{
    HttpResponse response;
    response.status = status;
    response.headers = headers;
    return readNotice(response, headerNames());
}

} // namespace

// Guards against taking any value of the header for a notice.
TEST(UpstreamNotice, readsThatAnUpstreamLeaves)
{
    EXPECT_TRUE(noticeOf(200, { { "x-leaving", "1" } }).isLeaving);
    EXPECT_TRUE(noticeOf(421, { { "x-leaving", "1" } }).isLeaving);
    EXPECT_FALSE(noticeOf(200, { { "x-leaving", "0" } }).isLeaving);
    EXPECT_FALSE(noticeOf(200, {}).isLeaving);
}

// Guards against a pause that is shorter than asked for, and against one that nobody asked for.
TEST(UpstreamNotice, readsThePauseOfARefusal)
{
    EXPECT_EQ(noticeOf(503, { { "retry-after", "3" } }).pause, Milliseconds { 3000 });
    EXPECT_EQ(noticeOf(503, { { "retry-after", "0.2504" } }).pause, Milliseconds { 251 });
    EXPECT_EQ(noticeOf(200, { { "retry-after", "3" } }).pause, std::nullopt);
    EXPECT_EQ(noticeOf(503, {}).pause, std::nullopt);
}

// Guards against an upstream that is never used again, or an overflow, because of an odd value.
TEST(UpstreamNotice, boundsOddPauses)
{
    constexpr Milliseconds hour { 3600 * 1000 };
    EXPECT_EQ(noticeOf(503, { { "retry-after", "1e300" } }).pause, hour);
    EXPECT_EQ(noticeOf(503, { { "retry-after", "inf" } }).pause, hour);
    for (const std::string odd : { "-1", "nan", "soon", "3 s", "Sun, 06 Dec 2026 08:00:00 GMT" }) {
        EXPECT_EQ(noticeOf(503, { { "retry-after", odd } }).pause, std::nullopt) << odd;
    }
}
