#include "gateway/gatewayupstream.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const TimePoint now { 1000000 };

GatewayUpstream upstream(Distance distance = Distance::SameZone)
{
    RoutedUpstream routed;
    routed.upstream.incarnation = { "i-1", 1 };
    routed.upstream.slots = 6;
    return { routed, distance };
}

} // namespace

TEST(GatewayUpstream, parsesTheReportedLoad)
{
    EXPECT_EQ(parseLoad("3,1,6", now), (ReportedLoad { 3, 1, 6, now }));
    EXPECT_EQ(parseLoad("", now), std::nullopt);
    EXPECT_EQ(parseLoad("3,1", now), std::nullopt);
    EXPECT_EQ(parseLoad("a,b,c", now), std::nullopt);
}

// A full upstream. Guards against measuring it as slow forever, or as fast because only its quick
// responses are counted.
TEST(GatewayUpstream, measuresServiceTimeWithoutTheQueue)
{
    GatewayUpstream gatewayUpstream = upstream();
    gatewayUpstream.recordResponse({ 300 }, ReportedLoad { 6, 12, 6, now }, now);
    const UpstreamTiming timing = gatewayUpstream.takeTiming();
    EXPECT_EQ(timing.requests, 1U);
    EXPECT_EQ(timing.milliseconds, 100U);
    EXPECT_EQ(gatewayUpstream.takeTiming().requests, 0U);
}

// Guards against uploads over the narrow link between regions while a nearby upstream is idle.
TEST(GatewayUpstream, costsMoreInAnotherRegion)
{
    EXPECT_LT(upstream().cost(now), upstream(Distance::SameRegion).cost(now));
    EXPECT_LT(upstream(Distance::SameRegion).cost(now), upstream(Distance::OtherRegion).cost(now));
}

// An upstream that fails some of its requests although its health check passes.
TEST(GatewayUpstream, costsMoreWhileRequestsFail)
{
    GatewayUpstream gatewayUpstream = upstream();
    const double before = gatewayUpstream.cost(now);
    for (int i = 0; i < 5; ++i) {
        gatewayUpstream.recordError(now);
    }
    EXPECT_GT(gatewayUpstream.cost(now), 2.0 * before);
}

// Guards against every request waiting for a timeout while an upstream is unavailable.
TEST(GatewayUpstream, isSuspectedAfterTwoFailuresAndClearedByAResponse)
{
    GatewayUpstream gatewayUpstream = upstream();
    gatewayUpstream.recordFailure(now, now);
    EXPECT_FALSE(gatewayUpstream.isSuspected(now));
    gatewayUpstream.recordFailure(now, now);
    EXPECT_TRUE(gatewayUpstream.isSuspected(now + Milliseconds { 399 }));
    EXPECT_FALSE(gatewayUpstream.isSuspected(now + Milliseconds { 401 }));
    gatewayUpstream.recordFailure(now, now);
    EXPECT_TRUE(gatewayUpstream.isSuspected(now + Milliseconds { 799 }));
    gatewayUpstream.recordResponse({ 50 }, std::nullopt, now);
    EXPECT_FALSE(gatewayUpstream.isSuspected(now));
}

// Hundreds of upstreams, so that a gateway rarely uses each of them. Guards against refusing the
// requests for an upstream's keys because two of them failed far apart.
TEST(GatewayUpstream, isNotSuspectedAfterFailuresFarApart)
{
    GatewayUpstream gatewayUpstream = upstream();
    gatewayUpstream.recordFailure(now, now);
    const TimePoint later = now + Milliseconds { 5000 };
    gatewayUpstream.recordFailure(later, later);
    EXPECT_FALSE(gatewayUpstream.isSuspected(later));
    gatewayUpstream.recordFailure(later, later);
    EXPECT_TRUE(gatewayUpstream.isSuspected(later));
}

// Guards against sending requests to an upstream that has announced its end and no longer runs
// them.
TEST(GatewayUpstream, hasLeftAGracePeriodAfterItAnnouncedItsEnd)
{
    GatewayUpstream gatewayUpstream = upstream();
    RoutedUpstream leaving { gatewayUpstream.upstream(), false, false };
    leaving.upstream.phase = UpstreamPhase::Gone;
    gatewayUpstream.setRouted(leaving, now);
    gatewayUpstream.setRouted(leaving, now + Milliseconds { 1000 });
    constexpr Milliseconds connectTime { 400 };
    EXPECT_FALSE(gatewayUpstream.hasLeft(now + Milliseconds { 1800 }, { 2500 }, connectTime));
    EXPECT_TRUE(gatewayUpstream.hasLeft(now + Milliseconds { 1801 }, { 2500 }, connectTime));
    EXPECT_TRUE(gatewayUpstream.hasLeft(now + Milliseconds { 1000 }, { 1500 }, connectTime));
}

// Guards against a last request to a leaving upstream that arrives after its drain period, because
// the link of the gateway is full.
TEST(GatewayUpstream, hasLeftEarlierWhileConnectionsOpenSlowly)
{
    GatewayUpstream gatewayUpstream = upstream();
    RoutedUpstream leaving { gatewayUpstream.upstream(), false, false };
    leaving.upstream.phase = UpstreamPhase::Draining;
    gatewayUpstream.setRouted(leaving, now);
    constexpr Milliseconds connectTime { 1500 };
    EXPECT_FALSE(gatewayUpstream.hasLeft(now + Milliseconds { 1000 }, { 2500 }, connectTime));
    EXPECT_TRUE(gatewayUpstream.hasLeft(now + Milliseconds { 1001 }, { 2500 }, connectTime));
}

// A full upstream. Guards against refusing requests because a few of many got a late response.
TEST(GatewayUpstream, isNotSuspectedWhileItRespondsToOtherRequests)
{
    GatewayUpstream gatewayUpstream = upstream();
    gatewayUpstream.recordResponse({ 50 }, std::nullopt, now);
    gatewayUpstream.recordFailure(now - Milliseconds { 1000 }, now);
    gatewayUpstream.recordFailure(now - Milliseconds { 900 }, now);
    EXPECT_FALSE(gatewayUpstream.isSuspected(now));
}

// Guards against one gateway that fills the queue of an upstream, which then may never respond.
TEST(GatewayUpstream, usesItsShareOfTheSlots)
{
    GatewayUpstream gatewayUpstream = upstream();
    gatewayUpstream.recordResponse({ 50 }, ReportedLoad { 6, 0, 6, now }, now);
    gatewayUpstream.setShare(0.1, 0.5);
    UpstreamAdmission &admission = gatewayUpstream.admission();
    const TimePoint late = now + Milliseconds { 10000 };
    EXPECT_EQ(admission.submit({ 1, 1, late }, now), AdmissionDecision::Start);
    EXPECT_EQ(admission.submit({ 2, 1, late }, now), AdmissionDecision::Start);
    EXPECT_EQ(admission.submit({ 3, 1, late }, now), AdmissionDecision::Wait);
}

// Light load. Guards against requests that wait in a gateway while the upstream has free slots.
TEST(GatewayUpstream, usesFreeSlotsBeyondItsShare)
{
    GatewayUpstream gatewayUpstream = upstream();
    gatewayUpstream.setShare(0.1, 0.5);
    gatewayUpstream.recordResponse({ 50 }, ReportedLoad { 1, 0, 6, now }, now);
    UpstreamAdmission &admission = gatewayUpstream.admission();
    const TimePoint late = now + Milliseconds { 10000 };
    for (GatewayRequestId id = 1; id <= 4; ++id) {
        EXPECT_EQ(admission.submit({ id, 1, late }, now), AdmissionDecision::Start);
    }
    EXPECT_EQ(admission.submit({ 5, 1, late }, now), AdmissionDecision::Wait);
}
