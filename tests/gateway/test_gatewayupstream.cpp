#include "gateway/gatewayupstream.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const TimePoint now { 1000000 };

GatewayUpstream upstream(Distance distance = Distance::SameZone)
{
    RoutedUpstream routed;
    routed.upstream.life = { "i-1", 1 };
    routed.upstream.slots = 6;
    return { routed, distance };
}

} // namespace

TEST(GatewayUpstream, readsTheToldLoad)
{
    EXPECT_EQ(parseLoad("3,1,6", now), (ToldLoad { 3, 1, 6, now }));
    EXPECT_EQ(parseLoad("", now), std::nullopt);
    EXPECT_EQ(parseLoad("3,1", now), std::nullopt);
    EXPECT_EQ(parseLoad("a,b,c", now), std::nullopt);
}

// Load: an upstream is full. Guards against a full upstream that looks slow forever, or fast
// because only its quick answers count.
TEST(GatewayUpstream, measuresServiceTimeWithoutTheQueue)
{
    GatewayUpstream first = upstream();
    first.recordResponse({ 300 }, ToldLoad { 6, 12, 6, now }, now);
    const UpstreamTiming timing = first.takeTiming();
    EXPECT_EQ(timing.requests, 1U);
    EXPECT_EQ(timing.milliseconds, 100U);
    EXPECT_EQ(first.takeTiming().requests, 0U);
}

// Guards against uploads that cross the narrow link between regions while a near upstream is idle.
TEST(GatewayUpstream, costsMoreInAnotherRegion)
{
    EXPECT_LT(upstream().cost(now), upstream(Distance::SameRegion).cost(now));
    EXPECT_LT(upstream(Distance::SameRegion).cost(now), upstream(Distance::OtherRegion).cost(now));
}

// Pattern: an upstream fails a part of its requests while its health is good.
TEST(GatewayUpstream, costsMoreWhileItFails)
{
    GatewayUpstream first = upstream();
    const double before = first.cost(now);
    for (int i = 0; i < 5; ++i) {
        first.noteError(now);
    }
    EXPECT_GT(first.cost(now), 2.0 * before);
}

// Guards against every request waiting for the timeout of an upstream that is gone.
TEST(GatewayUpstream, isSuspectedAfterTwoFailuresAndClearedByAnAnswer)
{
    GatewayUpstream first = upstream();
    first.noteFailure(now, now);
    EXPECT_FALSE(first.isSuspected(now));
    first.noteFailure(now, now);
    EXPECT_TRUE(first.isSuspected(now + Milliseconds { 399 }));
    EXPECT_FALSE(first.isSuspected(now + Milliseconds { 401 }));
    first.noteFailure(now, now);
    EXPECT_TRUE(first.isSuspected(now + Milliseconds { 799 }));
    first.recordResponse({ 50 }, std::nullopt, now);
    EXPECT_FALSE(first.isSuspected(now));
}

// Load: hundreds of upstreams, so that a gateway rarely uses each. Guards against refusing the
// requests for an upstream's keys because two of them failed far apart.
TEST(GatewayUpstream, isNotSuspectedAfterFailuresFarApart)
{
    GatewayUpstream first = upstream();
    first.noteFailure(now, now);
    const TimePoint later = now + Milliseconds { 5000 };
    first.noteFailure(later, later);
    EXPECT_FALSE(first.isSuspected(later));
    first.noteFailure(later, later);
    EXPECT_TRUE(first.isSuspected(later));
}

// Guards against requests for an upstream that has announced its end and would not run them.
TEST(GatewayUpstream, hasLeftSomeTimeAfterItAnnouncedItsEnd)
{
    GatewayUpstream first = upstream();
    RoutedUpstream leaving { first.upstream(), false, false };
    leaving.upstream.phase = UpstreamPhase::Gone;
    first.setRouted(leaving, now);
    first.setRouted(leaving, now + Milliseconds { 1000 });
    EXPECT_FALSE(first.hasLeft(now + Milliseconds { 1500 }));
    EXPECT_TRUE(first.hasLeft(now + Milliseconds { 1501 }));
}

// Load: an upstream is full. Guards against refusing requests because a few of many were late.
TEST(GatewayUpstream, isNotSuspectedWhileItAnswersOthers)
{
    GatewayUpstream first = upstream();
    first.recordResponse({ 50 }, std::nullopt, now);
    first.noteFailure(now - Milliseconds { 1000 }, now);
    first.noteFailure(now - Milliseconds { 900 }, now);
    EXPECT_FALSE(first.isSuspected(now));
}

// Guards against one gateway that fills the queue of an upstream, which then may never answer.
TEST(GatewayUpstream, usesItsShareOfTheSlots)
{
    GatewayUpstream first = upstream();
    first.recordResponse({ 50 }, ToldLoad { 6, 0, 6, now }, now);
    first.setShare(0.1, 0.5);
    UpstreamAdmission &admission = first.admission();
    const TimePoint late = now + Milliseconds { 10000 };
    EXPECT_EQ(admission.enter({ 1, 1, late }, now), AdmissionDecision::Start);
    EXPECT_EQ(admission.enter({ 2, 1, late }, now), AdmissionDecision::Start);
    EXPECT_EQ(admission.enter({ 3, 1, late }, now), AdmissionDecision::Wait);
}

// Load: light. Guards against requests that wait in a gateway while the upstream is idle.
TEST(GatewayUpstream, usesFreeSlotsBeyondItsShare)
{
    GatewayUpstream first = upstream();
    first.setShare(0.1, 0.5);
    first.recordResponse({ 50 }, ToldLoad { 1, 0, 6, now }, now);
    UpstreamAdmission &admission = first.admission();
    const TimePoint late = now + Milliseconds { 10000 };
    for (GatewayRequestId id = 1; id <= 4; ++id) {
        EXPECT_EQ(admission.enter({ id, 1, late }, now), AdmissionDecision::Start);
    }
    EXPECT_EQ(admission.enter({ 5, 1, late }, now), AdmissionDecision::Wait);
}
