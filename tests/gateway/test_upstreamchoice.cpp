#include "gateway/upstreamchoice.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const TimePoint now { 1000000 };

std::shared_ptr<GatewayUpstream> upstream(int number, Distance distance)
{
    RoutedUpstream routed;
    routed.upstream.incarnation = { "i-" + std::to_string(number), 1 };
    routed.upstream.slots = 6;
    return std::make_shared<GatewayUpstream>(routed, distance);
}

/** Sends one request each from @p gateways gateways that know nothing of each other. */
std::size_t busiest(std::size_t gateways, int upstreams)
{
    std::mt19937_64 random(1);
    std::map<std::string, std::size_t> requests;
    std::size_t most = 0;
    for (std::size_t i = 0; i < gateways; ++i) {
        GatewayUpstreams candidates;
        for (int number = 0; number < upstreams; ++number) {
            candidates.push_back(upstream(number, Distance::SameZone));
        }
        const auto chosen = chooseBySample(candidates, gateways, now, random);
        most = std::max(most, ++requests[chosen->upstream().incarnation.id]);
    }
    return most;
}

} // namespace

// Load: 195 gateways send to 62 upstreams of which they know nothing. Guards against all of them
// choosing the same one.
TEST(UpstreamChoice, spreadsTheRequestsOfManyGatewaysWithoutKnowledge)
{
    EXPECT_LE(busiest(195, 62), 12U); // the mean is 3
}

// Guards against a small site that sends to a random upstream although it knows the least loaded.
TEST(UpstreamChoice, comparesAllUpstreamsOnSmallSites)
{
    EXPECT_EQ(sampleSize(8, 10), 8U);
    EXPECT_EQ(sampleSize(62, 195), 5U);
    EXPECT_EQ(sampleSize(8, 1400), 2U);
    EXPECT_EQ(sampleSize(1, 1400), 1U);
    EXPECT_EQ(sampleSize(0, 1400), 0U);
}

// Guards against requests that cross the link between regions although near upstreams are free.
TEST(UpstreamChoice, prefersTheOwnRegion)
{
    std::mt19937_64 random(1);
    GatewayUpstreams candidates;
    for (int number = 0; number < 60; ++number) {
        candidates.push_back(
                upstream(number, number < 2 ? Distance::SameRegion : Distance::OtherRegion));
    }
    for (int i = 0; i < 100; ++i) {
        EXPECT_NE(chooseBySample(candidates, 195, now, random)->distanceFromGateway(),
                  Distance::OtherRegion);
    }
}

// Guards against sending to an upstream that has just failed while others are there.
TEST(UpstreamChoice, usesSuspectedUpstreamsOnlyWithoutOthers)
{
    std::mt19937_64 random(1);
    GatewayUpstreams candidates { upstream(1, Distance::SameZone),
                                  upstream(2, Distance::OtherRegion) };
    candidates[0]->recordFailure(now, now);
    candidates[0]->recordFailure(now, now);
    ASSERT_TRUE(candidates[0]->isSuspected(now));
    EXPECT_EQ(chooseBySample(candidates, 195, now, random), candidates[1]);
    candidates.pop_back();
    EXPECT_EQ(chooseBySample(candidates, 195, now, random), candidates[0]);
    candidates.clear();
    EXPECT_EQ(chooseBySample(candidates, 195, now, random), nullptr);
}

// Guards against sending to another region only because no request was measured there yet.
TEST(UpstreamChoice, doesNotTakeUnmeasuredUpstreamsForQuickOnes)
{
    std::mt19937_64 random(1);
    const GatewayUpstreams candidates { upstream(1, Distance::SameZone),
                                        upstream(2, Distance::OtherRegion) };
    candidates[0]->recordResponse({ 1100 }, std::nullopt, now);
    EXPECT_EQ(chooseBySample(candidates, 10, now, random), candidates[0]);
}
