#include "version/crashledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

constexpr RequestDigest deadly = 7;
const TimePoint start { 1000000 };

BrokenAttempt brokenAttempt(AttemptId attempt, RequestDigest request = deadly)
{
    return { request, attempt, {} };
}

/** Returns a ledger with @p count broken attempts of the deadly request. */
CrashLedger ledgerOf(AttemptId count)
{
    CrashLedger ledger;
    for (AttemptId i = 0; i < count; ++i) {
        ledger.record(brokenAttempt(i), start);
    }
    return ledger;
}

} // namespace

// Guards against a request that goes on to a fourth upstream.
TEST(CrashLedger, blocksARequestAfterThreeBrokenAttempts)
{
    EXPECT_FALSE(ledgerOf(2).isBlocked(deadly));
    EXPECT_TRUE(ledgerOf(3).isBlocked(deadly));
    EXPECT_FALSE(ledgerOf(3).isBlocked(deadly + 1));
}

// Guards against a request that is blocked since hosts tell each other of the same attempt.
TEST(CrashLedger, countsEachAttemptOnce)
{
    CrashLedger ledger;
    for (int i = 0; i < 5; ++i) {
        ledger.record(brokenAttempt(1), start);
    }
    EXPECT_EQ(ledger.brokenCount(deadly), 1U);
}

// Guards against a request that is blocked after an answer since reports of earlier attempts arrive
// late, as those of a gateway that was cut off.
TEST(CrashLedger, ignoresAttemptsThatBrokeBeforeAnAnswer)
{
    CrashLedger ledger = ledgerOf(3);
    const TimePoint answeredAt = start + Milliseconds { 1000 };
    ledger.clear(deadly, answeredAt);
    const TimePoint later = answeredAt + Milliseconds { 60 * 1000 };
    ledger.expire(later);
    for (AttemptId attempt = 0; attempt < 3; ++attempt) {
        EXPECT_FALSE(ledger.record({ deadly, attempt, later - start }, later));
    }
    EXPECT_FALSE(ledger.isBlocked(deadly));
}

// Guards against a request that stays suspected although an upstream has answered it.
TEST(CrashLedger, beginsAnewAfterAnAnswer)
{
    CrashLedger ledger = ledgerOf(2);
    EXPECT_TRUE(ledger.clear(deadly, start));
    EXPECT_FALSE(ledger.clear(deadly, start));
    ledger.record(brokenAttempt(5), start + Milliseconds { 1 });
    EXPECT_EQ(ledger.brokenCount(deadly), 1U);
}

// Guards against a list for all gateways that grows with each crash: the requests that an upstream
// takes along are not told of, until a second attempt of one of them breaks.
TEST(CrashLedger, sharesOnlyRequestsWithSeveralBrokenAttemptsOrAnAnswer)
{
    CrashLedger ledger = ledgerOf(1);
    EXPECT_TRUE(ledger.suspects(start).empty());
    ledger.record(brokenAttempt(1), start);
    ASSERT_EQ(ledger.suspects(start).size(), 1U);
    EXPECT_EQ(ledger.suspects(start)[0].attempts.size(), 2U);
    ledger.clear(deadly, start);
    ASSERT_EQ(ledger.suspects(start).size(), 1U);
    EXPECT_TRUE(ledger.suspects(start)[0].attempts.empty());
}

// Guards against a message to all gateways for each request that is answered after an upstream with
// many others has crashed: hundreds of them when a part of the upstreams crashes at once.
TEST(CrashLedger, tellsNobodyOfAnswersToRequestsThatItHasNotShared)
{
    CrashLedger ledger = ledgerOf(1);
    EXPECT_TRUE(ledger.clear(deadly, start));
    EXPECT_TRUE(ledger.suspects(start).empty());
}

// Guards against requests that stay blocked for ever since hosts tell each other of them anew.
TEST(CrashLedger, forgetsARequestThoughHostsExchangeIt)
{
    CrashLedger leader = ledgerOf(3);
    CrashLedger gateway;
    TimePoint now = start;
    for (int second = 0; second < 1200; ++second) {
        now = now + Milliseconds { 1000 };
        leader.expire(now);
        gateway.expire(now);
        gateway.merge(leader.suspects(now), now);
        for (const BrokenAttempt &broken : gateway.unknownTo(leader.suspects(now), now)) {
            leader.record(broken, now);
        }
    }
    EXPECT_FALSE(leader.isBlocked(deadly));
    EXPECT_FALSE(gateway.isBlocked(deadly));
}

// Guards against a new leader that learns from no gateway what the previous leader knew.
TEST(CrashLedger, tellsANewLeaderWhatItDoesNotKnow)
{
    const CrashLedger gateway = ledgerOf(3);
    CrashLedger leader;
    for (const BrokenAttempt &broken : gateway.unknownTo(leader.suspects(start), start)) {
        leader.record(broken, start);
    }
    EXPECT_TRUE(leader.isBlocked(deadly));
    EXPECT_TRUE(gateway.unknownTo(leader.suspects(start), start).empty());
}

// Guards against a popular request that stays refused for minutes, since an upstream had several
// copies of it when it crashed for another reason; and against a request that crashes upstreams
// and goes on to many more of them.
TEST(CrashLedger, grantsABlockedRequestFewTrials)
{
    CrashLedger ledger = ledgerOf(2);
    EXPECT_FALSE(ledger.trialDueIn(deadly, start));
    EXPECT_FALSE(ledger.grantTrial(deadly, "front-1", start));
    ledger.record(brokenAttempt(2), start);
    EXPECT_EQ(ledger.trialDueIn(deadly, start), Milliseconds { 1000 });
    std::uint32_t granted = 0;
    for (int second = 0; second < 300; ++second) {
        const TimePoint now = start + Milliseconds { second * 1000 };
        granted += ledger.grantTrial(deadly, "front-1", now) ? 1 : 0;
        EXPECT_FALSE(ledger.grantTrial(deadly, "front-2", now)) << second;
        EXPECT_EQ(ledger.trialsOf(deadly).count, granted);
    }
    EXPECT_EQ(granted, 3U);
    EXPECT_EQ(ledger.trialsOf(deadly).gateway, "front-1");
    EXPECT_TRUE(ledger.isBlocked(deadly));
}

// Guards against gateways that ask in vain, and wait for the decision, since the leader knows of an
// attempt that broke some milliseconds after the ones they know.
TEST(CrashLedger, grantsATrialThatIsNearlyDue)
{
    CrashLedger ledger = ledgerOf(3);
    EXPECT_FALSE(ledger.grantTrial(deadly, "front-1", start + Milliseconds { 700 }));
    EXPECT_TRUE(ledger.grantTrial(deadly, "front-1", start + Milliseconds { 800 }));
    EXPECT_FALSE(ledger.grantTrial(deadly, "front-2", start + Milliseconds { 801 }));
}

// Guards against trials beyond those that the term allows, and against a trial for two gateways,
// whatever reports and changes of the leader come in between: a new leader learns from gateways
// that know different lists.
RC_GTEST_PROP(CrashLedger, grantsNoMoreTrialsInAnyOrderOfReports, ())
{
    constexpr std::size_t gateways = 4;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange<std::size_t>(0, gateways)));
    CrashLedger leader = ledgerOf(3);
    std::vector<CrashLedger> known(gateways, leader);
    TimePoint now = start;
    std::uint32_t granted = 0;
    for (const auto &[kind, gateway] : steps) {
        now = now + Milliseconds { 700 };
        if (kind == 0) {
            granted += leader.grantTrial(deadly, std::to_string(gateway), now) ? 1 : 0;
        } else if (kind == 1) {
            known[gateway].merge(leader.suspects(now), now);
        } else {
            // The leader has told the gateways of its grants before it is lost; see
            // allReportedAfter.
            known[gateway].merge(leader.suspects(now), now);
            leader = CrashLedger();
            for (const CrashLedger &reporter : known) {
                for (const BrokenAttempt &broken : reporter.unknownTo(leader.suspects(now), now)) {
                    leader.record(broken, now);
                }
            }
        }
    }
    RC_ASSERT(granted <= 3U);
    RC_ASSERT(leader.trialsOf(deadly).count == granted);
}

// Guards against a request that gets no trial when it is blocked a second time.
TEST(CrashLedger, forgetsTrialsAfterAnAnswer)
{
    CrashLedger ledger = ledgerOf(3);
    const TimePoint later = start + Milliseconds { 1000 };
    ASSERT_TRUE(ledger.grantTrial(deadly, "front-1", later));
    const std::vector<SuspectRequest> before = ledger.suspects(later);
    ledger.clear(deadly, later);
    ledger.merge(before, later + Milliseconds { 10 });
    EXPECT_EQ(ledger.trialsOf(deadly), RequestTrials());
    EXPECT_FALSE(ledger.isBlocked(deadly));
}

// Guards against a new leader that grants the trials once more which an earlier one has granted: it
// may learn of the broken attempts first from a gateway that knows of no trial.
TEST(CrashLedger, tellsANewLeaderOfTrials)
{
    CrashLedger earlier = ledgerOf(3);
    CrashLedger uninformed;
    uninformed.merge(earlier.suspects(start), start);
    const TimePoint later = start + Milliseconds { 1000 };
    ASSERT_TRUE(earlier.grantTrial(deadly, "front-1", later));
    CrashLedger informed;
    informed.merge(earlier.suspects(later), later);
    CrashLedger leader;
    for (const CrashLedger *gateway : { &uninformed, &informed }) {
        for (const BrokenAttempt &broken : gateway->unknownTo(leader.suspects(later), later)) {
            leader.record(broken, later);
        }
    }
    EXPECT_TRUE(leader.isBlocked(deadly));
    EXPECT_EQ(leader.trialsOf(deadly).count, 1U);
    EXPECT_TRUE(informed.unknownTo(leader.suspects(later), later).empty());
}

// Guards against memory that grows with the crashes, and against losing the requests with the most
// crashes when the ledger is full.
TEST(CrashLedger, keepsTheWorstRequestsWhenItIsFull)
{
    CrashLedger ledger = ledgerOf(2);
    for (RequestDigest request = 100; request < 10000; ++request) {
        ledger.record(brokenAttempt(50, request), start);
    }
    EXPECT_EQ(ledger.brokenCount(deadly), 2U);
    EXPECT_EQ(ledger.brokenCount(100), 0U);
    EXPECT_EQ(ledger.brokenCount(9999), 1U);
}

// Guards against gateways that come to different results from the same reports in another order.
RC_GTEST_PROP(CrashLedger, blocksTheSameRequestsInAnyOrderOfReports, ())
{
    auto broken = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 6)));
    CrashLedger first;
    for (const auto &[request, attempt] : broken) {
        first.record(
                brokenAttempt(static_cast<AttemptId>(attempt), static_cast<RequestDigest>(request)),
                start);
    }
    std::reverse(broken.begin(), broken.end());
    CrashLedger second;
    for (const auto &[request, attempt] : broken) {
        second.record(
                brokenAttempt(static_cast<AttemptId>(attempt), static_cast<RequestDigest>(request)),
                start);
    }
    for (RequestDigest request = 0; request < 5; ++request) {
        RC_ASSERT(first.isBlocked(request) == second.isBlocked(request));
    }
}
