#include "gateway/crashguard.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr RequestDigest deadly = 7;
const TimePoint now { 1000000 };

/** A leader as far as it concerns suspect requests: takes reports and makes replies. */
struct TestLeader
{
    GatewayUpdate exchange(CrashGuard &guard)
    {
        GatewayReport report;
        guard.fillReport(report, now);
        this->take(report);
        return this->replyTo(report);
    }

    void take(const GatewayReport &report)
    {
        for (const BrokenAttempt &broken : report.broken) {
            this->ledger.record(broken, now);
        }
        for (const RequestDigest request : report.answered) {
            this->ledger.clear(request, now);
        }
        for (const RequestDigest request : report.trials) {
            this->ledger.grantTrial(request, report.gateway, this->decidesAt);
        }
    }

    GatewayUpdate replyTo(const GatewayReport &report) const
    {
        GatewayUpdate update;
        update.suspectsTag = tagOf(this->ledger.suspects(now));
        if (update.suspectsTag != report.suspectsTag) {
            update.suspects = this->ledger.suspects(now);
        }
        return update;
    }

    CrashLedger ledger;
    TimePoint decidesAt = now; // about trials
};

/** Lets @p guard, of the gateway @p name, and @p leader exchange a report and its reply. */
bool exchange(TestLeader &leader, CrashGuard &guard, const std::string &name, TimePoint at)
{
    GatewayReport report;
    report.gateway = name;
    guard.fillReport(report, at);
    leader.decidesAt = at;
    leader.take(report);
    return guard.applyUpdate(leader.replyTo(report), at);
}

/** Lets @p guard know of three broken attempts. */
void block(CrashGuard &guard)
{
    for (AttemptId attempt = 1; attempt <= 3; ++attempt) {
        guard.recordBroken({ deadly, attempt, {} }, now);
    }
}

} // namespace

// Guards against a blocked request that several gateways try at once, each of which crashes an
// upstream, and against one that none tries.
TEST(CrashGuard, triesABlockedRequestAtOneGateway)
{
    TestLeader leader;
    CrashGuard first("front-1");
    CrashGuard second("front-2");
    block(first);
    exchange(leader, first, "front-1", now);
    exchange(leader, second, "front-2", now);
    EXPECT_FALSE(first.trials().ask(deadly, first.ledger(), now));
    const TimePoint due = now + Milliseconds { 1000 };
    EXPECT_TRUE(first.trials().ask(deadly, first.ledger(), due));
    EXPECT_TRUE(second.trials().ask(deadly, second.ledger(), due));
    EXPECT_FALSE(second.trials().ask(deadly, second.ledger(), due));
    EXPECT_TRUE(exchange(leader, first, "front-1", due));
    EXPECT_TRUE(exchange(leader, second, "front-2", due));
    EXPECT_TRUE(first.trials().take(deadly));
    EXPECT_FALSE(first.trials().take(deadly));
    EXPECT_FALSE(second.trials().take(deadly));
}

// Guards against a trial that is lost because the request which took it reached no upstream, and
// against one that outlives the block.
TEST(CrashGuard, keepsATrialThatWasNotMade)
{
    TestLeader leader;
    CrashGuard guard("front-1");
    block(guard);
    exchange(leader, guard, "front-1", now);
    const TimePoint due = now + Milliseconds { 1000 };
    ASSERT_TRUE(guard.trials().ask(deadly, guard.ledger(), due));
    exchange(leader, guard, "front-1", due);
    ASSERT_TRUE(guard.trials().take(deadly));
    guard.trials().giveBack(deadly, guard.ledger());
    EXPECT_TRUE(guard.trials().take(deadly));
    guard.recordAnswered(deadly, due);
    guard.trials().giveBack(deadly, guard.ledger());
    EXPECT_FALSE(guard.trials().take(deadly));
}

// Guards against gateways that each send a request on until three attempts of their own are broken,
// since none learns of the attempts of the others.
TEST(CrashGuard, learnsOfBrokenAttemptsAtOtherGateways)
{
    TestLeader leader;
    CrashGuard first;
    CrashGuard second;
    first.recordBroken({ deadly, 1, {} }, now);
    second.recordBroken({ deadly, 2, {} }, now);
    first.recordBroken({ deadly, 3, {} }, now);
    for (CrashGuard *guard : { &first, &second, &first }) {
        guard->applyUpdate(leader.exchange(*guard), now);
    }
    EXPECT_TRUE(first.ledger().isBlocked(deadly));
    EXPECT_TRUE(second.ledger().isBlocked(deadly));
}

// Guards against broken attempts that are forgotten since the report with them did not arrive.
TEST(CrashGuard, reportsAgainWhatNoLeaderHasConfirmed)
{
    CrashGuard guard;
    guard.recordBroken({ deadly, 1, {} }, now);
    GatewayReport lost;
    guard.fillReport(lost, now);
    guard.recordBroken({ deadly, 2, {} }, now);
    TestLeader leader;
    guard.applyUpdate(leader.exchange(guard), now);
    EXPECT_EQ(leader.ledger.brokenCount(deadly), 2U);
    GatewayReport next;
    guard.fillReport(next, now);
    EXPECT_TRUE(next.broken.empty());
}

// Guards against broken attempts that are forgotten since the reply to an earlier report arrived
// after the last one was sent, which is lost.
TEST(CrashGuard, reportsAgainWhatALateReplyDoesNotConfirm)
{
    CrashGuard guard;
    TestLeader leader;
    const GatewayUpdate late = leader.exchange(guard);
    guard.recordBroken({ deadly, 1, {} }, now);
    GatewayReport lost;
    guard.fillReport(lost, now);
    guard.applyLateUpdate(late, now);
    GatewayReport next;
    guard.fillReport(next, now);
    EXPECT_EQ(next.broken, lost.broken);
}

// Guards against a blocked request that is let through again when the control group changes its
// leader.
TEST(CrashGuard, tellsANewLeaderOfBlockedRequests)
{
    TestLeader leader;
    CrashGuard first;
    CrashGuard second;
    for (AttemptId attempt = 1; attempt <= 3; ++attempt) {
        first.recordBroken({ deadly, attempt, {} }, now);
    }
    first.applyUpdate(leader.exchange(first), now);
    TestLeader next;
    for (int i = 0; i < 2; ++i) {
        first.applyUpdate(next.exchange(first), now);
        second.applyUpdate(next.exchange(second), now);
    }
    EXPECT_TRUE(first.ledger().isBlocked(deadly));
    EXPECT_TRUE(second.ledger().isBlocked(deadly));
}

// Guards against suspicion of the usual requests that an upstream takes along when it crashes.
TEST(CrashGuard, doesNotSuspectARequestThatWasAnsweredLately)
{
    CrashGuard guard;
    guard.recordAnswered(deadly, now);
    EXPECT_FALSE(guard.recordBroken({ deadly, 1, {} }, now));
    EXPECT_EQ(guard.ledger().brokenCount(deadly), 0U);
}

// Guards against a request that stays suspected at a gateway although another has an answer to it.
TEST(CrashGuard, learnsOfAnswersAtOtherGateways)
{
    TestLeader leader;
    CrashGuard first;
    CrashGuard second;
    first.recordBroken({ deadly, 1, {} }, now);
    first.recordBroken({ deadly, 2, {} }, now);
    first.applyUpdate(leader.exchange(first), now);
    second.applyUpdate(leader.exchange(second), now);
    second.recordAnswered(deadly, now);
    second.applyUpdate(leader.exchange(second), now);
    first.applyUpdate(leader.exchange(first), now);
    EXPECT_EQ(first.ledger().brokenCount(deadly), 0U);
}

// Guards against blocking a request that is answered all the time, since a gateway that has seen no
// answer to it had three at an upstream that crashed.
TEST(CrashGuard, clearsWhatOthersSuspectAfterAnAnswerToIt)
{
    TestLeader leader;
    CrashGuard busy;
    busy.recordAnswered(deadly, now);
    CrashGuard other;
    for (AttemptId attempt = 1; attempt <= 3; ++attempt) {
        other.recordBroken({ deadly, attempt, {} }, now);
    }
    other.applyUpdate(leader.exchange(other), now);
    EXPECT_TRUE(other.ledger().isBlocked(deadly));
    for (CrashGuard *guard : { &busy, &busy, &other }) {
        guard->applyUpdate(leader.exchange(*guard), now);
    }
    EXPECT_FALSE(other.ledger().isBlocked(deadly));
}

// Guards against a request that is never blocked since it was answered before it began to crash
// upstreams, for example by their previous version.
TEST(CrashGuard, suspectsARequestWhoseLastAnswerIsLongAgo)
{
    CrashGuard guard;
    guard.recordAnswered(deadly, now);
    EXPECT_TRUE(guard.recordBroken({ deadly, 1, {} }, now + Milliseconds { 120 * 1000 }));
}
