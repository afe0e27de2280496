#include "version/leasecalls.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const SiteUpstream upstream { { "i-1", 100 },      "ledger", { "10.0.0.1", 80 }, "a", 3,
                              UpstreamPhase::Ready };
const RangeLease lease { { 0, 99 }, 7, "state" };

TimePoint at(std::int64_t milliseconds)
{
    return { 1000000 + milliseconds };
}

/** The calls to one upstream that has sent a heartbeat. */
class LeaseCallsTest : public testing::Test
{
protected:
    LeaseCallsTest() { this->calls.onHeartbeat(upstream.incarnation); }

    std::vector<LeaseCall> update(const LeaseTarget &target, std::int64_t milliseconds)
    {
        return this->calls.update(upstream, target, this->nextNumber, at(milliseconds));
    }

    LeaseCallTiming timing;
    LeaseCalls calls { this->timing };
    std::uint64_t nextNumber = 1;
};

} // namespace

// Guards against an upstream without keys because its leases were never granted.
TEST_F(LeaseCallsTest, grantsALeaseOnceAndRenewsIt)
{
    const LeaseTarget target { { lease }, {} };
    const std::vector<LeaseCall> first = this->update(target, 0);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].body, (LeaseCallBody { GrantCall { lease, timing.leaseDuration } }));
    EXPECT_EQ(first[0].address, upstream.address);
    EXPECT_TRUE(this->update(target, 10).empty());
    this->calls.end(1, LeaseCallAccepted {});
    EXPECT_TRUE(this->update(target, 999).empty());
    EXPECT_EQ(this->update(target, 1000).size(), 1U);
}

// Guards against a lease that ends because upstreams leave some grants without an answer.
TEST_F(LeaseCallsTest, repeatsAGrantWithoutAnAnswerBesideTheFirst)
{
    const LeaseTarget target { { lease }, {} };
    ASSERT_EQ(this->update(target, 0).size(), 1U);
    EXPECT_TRUE(this->update(target, 249).empty());
    EXPECT_EQ(this->update(target, 250).size(), 1U);
    EXPECT_EQ(this->update(target, 500).size(), 1U);
    EXPECT_TRUE(this->update(target, 750).empty()); // three are open
    this->calls.end(1, LeaseCallTimedOut {});
    EXPECT_EQ(this->update(target, 800).size(), 1U);
}

// Guards against a grant to another incarnation that has started at the address of this one: it
// would get its keys with the same fencing token.
TEST_F(LeaseCallsTest, grantsNothingAfterABrokenConnectionUntilTheNextHeartbeat)
{
    const LeaseTarget target { { lease }, {} };
    ASSERT_EQ(this->update(target, 0).size(), 1U);
    this->calls.end(1, LeaseCallBroken {});
    EXPECT_TRUE(this->update(target, 2000).empty());
    this->calls.onHeartbeat(upstream.incarnation);
    EXPECT_EQ(this->update(target, 2000).size(), 1U);
    this->calls.end(2, LeaseCallNotSent {});
    EXPECT_TRUE(this->update(target, 4000).empty());
}

// Guards against grants of a new leader before a heartbeat shows that the incarnation still runs.
TEST(LeaseCalls, grantsNothingBeforeTheFirstHeartbeatOfATerm)
{
    LeaseCalls calls { {} };
    std::uint64_t number = 1;
    calls.onHeartbeat(upstream.incarnation);
    calls.startTerm();
    EXPECT_TRUE(calls.due(at(0)).empty());
    EXPECT_TRUE(calls.update(upstream, { { lease }, {} }, number, at(0)).empty());
    calls.onHeartbeat(upstream.incarnation);
    EXPECT_EQ(calls.due(at(0)), std::vector { upstream.incarnation });
    EXPECT_EQ(calls.update(upstream, { { lease }, {} }, number, at(0)).size(), 1U);
}

// Guards against an endless series of refused calls with a fencing token that is too low.
TEST_F(LeaseCallsTest, neverRepeatsARefusedFencingToken)
{
    const LeaseTarget target { { lease }, {} };
    ASSERT_EQ(this->update(target, 0).size(), 1U);
    this->calls.end(1, LeaseCallRefused {});
    this->calls.onHeartbeat(upstream.incarnation);
    EXPECT_TRUE(this->update(target, 5000).empty());
    const RangeLease newer { lease.range, 8, {} };
    EXPECT_EQ(this->update({ { newer }, {} }, 5000).size(), 1U);
}

// Guards against a grant that arrives after the release of its range and gives it back.
TEST_F(LeaseCallsTest, releasesOnlyAfterTheGrantsOfTheRangeHaveEnded)
{
    const ReleaseCall release { { 50, 99 }, 7 };
    const LeaseTarget rest { { { { 0, 49 }, 7, {} } }, { release } };
    ASSERT_EQ(this->update({ { lease }, {} }, 0).size(), 1U);
    const std::vector<LeaseCall> meanwhile = this->update(rest, 10);
    ASSERT_EQ(meanwhile.size(), 1U); // only the grant of the rest
    EXPECT_TRUE(std::holds_alternative<GrantCall>(meanwhile[0].body));
    this->calls.end(1, LeaseCallAccepted {});
    const std::vector<LeaseCall> after = this->update(rest, 20);
    ASSERT_EQ(after.size(), 1U);
    EXPECT_EQ(after[0].body, LeaseCallBody { release });
    EXPECT_EQ(after[0].timeout, timing.releaseTimeout);
}

// Guards against a range that stays unreleased because the answer to its release was lost.
TEST_F(LeaseCallsTest, repeatsAReleaseUntilItIsAccepted)
{
    const LeaseTarget target { {}, { { { 0, 99 }, 7 } } };
    ASSERT_EQ(this->update(target, 0).size(), 1U);
    this->calls.end(1, LeaseCallBroken {});
    EXPECT_TRUE(this->update(target, 249).empty());
    ASSERT_EQ(this->update(target, 250).size(), 1U);
    this->calls.end(2, LeaseCallAccepted { "state" });
    EXPECT_TRUE(this->update(target, 5000).empty());
}

// Guards against silent upstreams whose open calls hold up the grants to all others.
TEST(LeaseCalls, grantsInTimeBesideUpstreamsThatDoNotAnswer)
{
    constexpr int silentCount = 150;
    LeaseCalls calls { {} };
    std::uint64_t number = 1;
    for (int i = 0; i < silentCount; ++i) {
        SiteUpstream silent = upstream;
        silent.incarnation.id = "silent-" + std::to_string(i);
        calls.onHeartbeat(silent.incarnation);
        for (std::int64_t time = 0; time <= 2000; time += 250) {
            calls.update(silent, { { lease }, {} }, number, at(time));
        }
    }
    calls.onHeartbeat(upstream.incarnation);
    EXPECT_EQ(calls.update(upstream, { { lease }, {} }, number, at(2000)).size(), 1U);
}

// Guards against the result of a call of an earlier term that is taken for one of this term.
TEST_F(LeaseCallsTest, ignoresTheEndOfCallsOfEarlierTerms)
{
    ASSERT_EQ(this->update({ { lease }, {} }, 0).size(), 1U);
    this->calls.startTerm();
    EXPECT_EQ(this->calls.end(1, LeaseCallAccepted {}), std::nullopt);
}
