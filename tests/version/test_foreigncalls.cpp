#include "callsimulation.h"
#include "sitesimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

constexpr int stepsUntilSettled = 4000; // after the last call of another writer

/** A fault of the site, or a call of another writer. */
template <typename Fault>
struct Disturbance
{
    bool isForeign = false;
    Fault fault;
    ForeignCall call;
};

template <typename Fault>
void showValue(const Disturbance<Fault> &disturbance, std::ostream &out)
{
    if (disturbance.isForeign) {
        showValue(disturbance.call, out);
    } else {
        showValue(disturbance.fault, out);
    }
}

using SiteDisturbance = Disturbance<SiteFault>;
using CallDisturbance = Disturbance<CallFault>;

template <typename Fault, typename Kind>
rc::Gen<Disturbance<Fault>> disturbances(std::vector<Kind> kinds)
{
    using Value = Disturbance<Fault>;
    const auto fault = rc::gen::build<Fault>(
            rc::gen::set(&Fault::kind, rc::gen::elementOf(std::move(kinds))),
            rc::gen::set(&Fault::wait, rc::gen::inRange(1, 250)),
            rc::gen::set(&Fault::target, rc::gen::inRange(0, 5)),
            rc::gen::set(&Fault::duration, rc::gen::inRange(10, 600)));
    return rc::gen::build<Value>(rc::gen::set(&Value::isForeign, rc::gen::arbitrary<bool>()),
                                 rc::gen::set(&Value::fault, fault), rc::gen::set(&Value::call));
}

// Plays @p disturbances and checks the ownership of the keys meanwhile and in the end.
template <typename Simulation, typename Fault>
void play(Simulation &simulation, const std::vector<Disturbance<Fault>> &disturbances)
{
    simulation.run(300);
    for (const auto &disturbance : disturbances) {
        if (disturbance.isForeign) {
            simulation.run(disturbance.call.wait);
            simulation.inject(disturbance.call);
        } else {
            simulation.apply(disturbance.fault);
        }
        RC_ASSERT(simulation.violation() == "");
    }
    simulation.run(stepsUntilSettled);
    RC_ASSERT(simulation.violation() == "");
    if (simulation.canOwnKeys()) {
        RC_ASSERT(simulation.leasedKeys() == keyCount);
    }
}

// Returns the keys that upstream 1 has in the end if @p call comes, and the fewest meanwhile.
std::pair<std::uint32_t, std::uint32_t> keysAfter(ForeignCall call)
{
    SiteSimulation simulation;
    simulation.run(400);
    call.target = 1;
    std::uint32_t fewest = simulation.keysOf(1);
    simulation.inject(call);
    constexpr int rounds = 300; // longer than a withdrawal holds
    for (int i = 0; i < rounds; ++i) {
        simulation.run(10);
        fewest = std::min(fewest, simulation.keysOf(1));
    }
    EXPECT_EQ(simulation.violation(), "");
    EXPECT_EQ(simulation.leasedKeys(), keyCount);
    return { simulation.keysOf(1), fewest };
}

} // namespace

namespace rc {

template <>
struct Arbitrary<SiteDisturbance>
{
    static Gen<SiteDisturbance> arbitrary()
    {
        return disturbances<SiteFault, FaultKind>(
                { FaultKind::Freeze, FaultKind::Crash, FaultKind::Restart, FaultKind::NewLeader,
                  FaultKind::DropResponses, FaultKind::RestartWithNewId, FaultKind::DelayHeartbeats,
                  FaultKind::GiveAddressAway });
    }
};

template <>
struct Arbitrary<CallDisturbance>
{
    static Gen<CallDisturbance> arbitrary()
    {
        return disturbances<CallFault, CallFaultKind>(
                { CallFaultKind::Freeze, CallFaultKind::Crash, CallFaultKind::Restart,
                  CallFaultKind::NewLeader, CallFaultKind::ApplyLate, CallFaultKind::WorkLong });
    }
};

} // namespace rc

// Guards against heartbeats and withdrawals of other writers that give keys to a second upstream
// while the first may still have a lease, or that keep keys from the upstreams that are up.
RC_GTEST_PROP(ForeignCallProperties, leaveEachKeyOneOwner,
              (const std::vector<SiteDisturbance> &disturbances))
{
    SiteSimulation simulation(*rc::gen::inRange(0, 50));
    play(simulation, disturbances);
}

// As above, for upstreams that take their leases by calls.
RC_GTEST_PROP(ForeignCallProperties, leaveEachKeyOneOwnerWithLeaseCalls,
              (const std::vector<CallDisturbance> &disturbances))
{
    CallSimulation simulation(*rc::gen::inRange(0, 50));
    play(simulation, disturbances);
}

// Guards against a heartbeat at the address of an upstream, for a service that no configuration
// names, after which its keys have two owners (review, OWNER).
TEST(ForeignCalls, ofAnUnnamedServiceTakeNoKeys)
{
    ForeignCall call;
    call.hasAddress = true;
    call.service = ForeignService::Unnamed;
    const auto [atEnd, fewest] = keysAfter(call);
    EXPECT_GT(fewest, 0U);
    EXPECT_EQ(atEnd, fewest);
}

// Guards against the same with the id of the upstream.
TEST(ForeignCalls, ofAnUnnamedServiceUnderAKnownIdTakeNoKeys)
{
    ForeignCall call;
    call.hasId = true;
    call.service = ForeignService::Unnamed;
    EXPECT_GT(keysAfter(call).second, 0U);
}

// Guards against an id that moves to another address while its upstream is up.
TEST(ForeignCalls, underAKnownIdAtAnotherAddressTakeNoKeys)
{
    ForeignCall call;
    call.hasId = true;
    call.count = 5;
    EXPECT_GT(keysAfter(call).second, 0U);
}

// Guards against a new id at the address of an upstream that is up, with a start time from the
// future: its heartbeats must not make those of the upstream count as outdated.
TEST(ForeignCalls, ofAnotherIdAtAKnownAddressTakeNoKeys)
{
    ForeignCall call;
    call.hasAddress = true;
    call.service = ForeignService::Other;
    call.born = ForeignBorn::Future;
    call.count = 5;
    EXPECT_GT(keysAfter(call).second, 0U);
}

// Guards against one heartbeat that looks like a restart of an upstream that is up.
TEST(ForeignCalls, thatLookLikeARestartTakeNoKeys)
{
    ForeignCall call;
    call.hasId = true;
    call.hasAddress = true;
    EXPECT_GT(keysAfter(call).second, 0U);
}

// Guards against an upstream that stays without keys after another writer has withdrawn it.
TEST(ForeignCalls, thatWithdrawAnUpstreamTakeItsKeysForSomeSecondsOnly)
{
    ForeignCall call;
    call.withdraws = true;
    EXPECT_GT(keysAfter(call).first, 0U);
}

// Guards against a report of an earlier incarnation that was under way when its upstream crashed,
// and then keeps the keys from the others.
TEST(ForeignCalls, mayBeLateHeartbeatsOfACrashedUpstream)
{
    SiteSimulation simulation;
    simulation.run(400);
    simulation.apply({ FaultKind::DelayHeartbeats, 1, 2, 600 });
    simulation.run(120);
    simulation.apply({ FaultKind::RestartWithNewId, 1, 2, 0 });
    simulation.run(500);
    EXPECT_EQ(simulation.leasedKeys(), keyCount);
    EXPECT_EQ(simulation.violation(), "");
}
