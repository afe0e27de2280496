#include "request/hopheaders.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

TEST(HopHeaders, removesHopByHopAndOwnHeaders)
{
    const auto kept = HopHeaders::endToEnd({ { "connection", "close, X-One ,x-two" },
                                             { "x-one", "1" },
                                             { "x-two", "2" },
                                             { "x-three", "3" },
                                             { "te", "trailers" },
                                             { "upgrade", "h2c" },
                                             { "transfer-encoding", "chunked" },
                                             { "content-length", "3" },
                                             { "host", "x" },
                                             { "traceparent", "x" },
                                             { "cassiaroad-grant", "shard/1/1" },
                                             { "idempotency-key", "a" } });
    EXPECT_EQ(kept, std::optional(Headers { { "x-three", "3" }, { "idempotency-key", "a" } }));
}

// Guards against a header value that the next hop reads as another header or request.
TEST(HopHeaders, refusesHeaderInjection)
{
    for (const std::string &value :
         std::vector<std::string> { "a\r\nb: c", "a\nb", "a\rb", std::string("a\0b", 3) }) {
        EXPECT_EQ(HopHeaders::endToEnd({ { "x", value } }), std::nullopt);
        EXPECT_TRUE(HopHeaders::ofResponse({ { "x", value } }).empty());
    }
    for (const std::string name : { "", "a b", "a:", "a\r\n", "A" }) {
        EXPECT_EQ(HopHeaders::endToEnd({ { name, "x" } }), std::nullopt) << name;
    }
}

RC_GTEST_PROP(HopHeaders, neverPassesOnLineBreaks,
              (const std::string &name, const std::string &value))
{
    const auto kept = HopHeaders::endToEnd({ { name, value } });
    if (kept.has_value()) {
        for (const auto &[keptName, keptValue] : *kept) {
            RC_ASSERT(keptName.find_first_of("\r\n: ") == std::string::npos);
            RC_ASSERT(keptValue.find_first_of("\r\n") == std::string::npos);
        }
    }
}

TEST(HopHeaders, encodesGrantsOfShardsAndKeys)
{
    const ServiceSettings service { "orders" };
    const Target target { &service, "club", 7, 0 };
    const TraceContext trace { std::string(32, 'a'), std::string(16, 'b'), "", true };
    Headers headers;
    HopHeaders::addForUpstream(headers, target, { { "orders", "o1" }, "", 3, false, 7 }, { 250 },
                               trace, "n-1");
    EXPECT_EQ(HopHeaders::find(headers, "cassiaroad-grant"), "shard/7/3");
    EXPECT_EQ(HopHeaders::find(headers, "cassiaroad-key"), "club");
    EXPECT_EQ(HopHeaders::find(headers, "cassiaroad-deadline-ms"), "250");
    EXPECT_EQ(HopHeaders::find(headers, "cassiaroad-request"), "n-1");
    Headers moved;
    HopHeaders::addForUpstream(moved, target, { { "orders", "o1" }, "", 4, true, 7 }, { 250 },
                               trace, "n-2");
    EXPECT_EQ(HopHeaders::find(moved, "cassiaroad-grant"), "key/4");
}

TEST(TraceContext, continuesValidTracesOnly)
{
    const std::string parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";
    const TraceContext next = TraceContext::continueFrom(parent, 1, 2, 3);
    EXPECT_EQ(next.traceId, "0af7651916cd43dd8448eb211c80319c");
    EXPECT_EQ(next.parentSpanId, "b7ad6b7169203331");
    EXPECT_FALSE(next.sampled);
    EXPECT_EQ(next.header(), "00-0af7651916cd43dd8448eb211c80319c-0000000000000003-00");
    for (const std::string &broken :
         std::vector<std::string> { std::string(), std::string("00-zz"), "01" + parent.substr(2),
                                    "00-" + std::string(32, '0') + parent.substr(35), parent + "x",
                                    "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" }) {
        const TraceContext fresh = TraceContext::continueFrom(broken, 1, 2, 3);
        EXPECT_EQ(fresh.traceId, "00000000000000010000000000000003") << broken;
        EXPECT_EQ(fresh.parentSpanId, "") << broken;
    }
}
