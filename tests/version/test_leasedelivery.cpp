#include "callsimulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace rc {

template <>
struct Arbitrary<CallFault>
{
    static Gen<CallFault> arbitrary()
    {
        return gen::build<CallFault>(
                gen::set(&CallFault::kind,
                         gen::map(gen::inRange(0, 7),
                                  [](int value) { return static_cast<CallFaultKind>(value); })),
                gen::set(&CallFault::wait, gen::inRange(1, 250)),
                gen::set(&CallFault::target, gen::inRange(0, upstreamCount)),
                gen::set(&CallFault::duration, gen::inRange(10, 600)));
    }
};

} // namespace rc

// Guards against two upstreams with a lease on the same key after calls that are applied seconds
// late, long releases, freezes, crashes, restarts with the same id, drains and leader changes.
RC_GTEST_PROP(LeaseDeliveryProperties, neverLeasesAKeyToTwoUpstreams,
              (const std::vector<CallFault> &faults))
{
    CallSimulation simulation(*rc::gen::inRange(0, 50));
    simulation.run(300);
    for (const CallFault &fault : faults) {
        simulation.apply(fault);
        RC_ASSERT(simulation.violation() == "");
    }
    simulation.run(1000);
    RC_ASSERT(simulation.violation() == "");
}

// Guards against a site whose upstreams take keys by calls and get none.
TEST(LeaseDelivery, assignsAllKeysAtFirst)
{
    CallSimulation simulation;
    simulation.run(400);
    EXPECT_EQ(simulation.leasedKeys(), keyCount);
}

// Guards against leases that end although their upstreams run.
TEST(LeaseDelivery, renewsAllLeasesWhileGrantsAreAppliedLate)
{
    CallSimulation simulation;
    simulation.run(400);
    simulation.apply({ CallFaultKind::ApplyLate, 1, 0, 600 });
    for (int i = 0; i < 60; ++i) {
        simulation.run(10);
        EXPECT_EQ(simulation.leasedKeys(), keyCount) << i;
    }
}

// Guards against keys that have no owner for the duration of a lease when an upstream leaves.
TEST(LeaseDelivery, movesTheKeysOfADrainingUpstreamAtOnce)
{
    CallSimulation simulation;
    simulation.run(400);
    simulation.apply({ CallFaultKind::Drain, 1, 2, 0 });
    simulation.run(120);
    EXPECT_EQ(simulation.keysOf(2), 0U);
    EXPECT_EQ(simulation.leasedKeys(), keyCount);
}

// Guards against a change of leader that ends leases or leaves keys without an owner.
TEST(LeaseDelivery, keepsTheLeasesWhenTheLeaderChanges)
{
    CallSimulation simulation;
    simulation.run(400);
    simulation.apply({ CallFaultKind::NewLeader, 1, 0, 0 });
    for (int i = 0; i < 60; ++i) {
        simulation.run(10);
        EXPECT_EQ(simulation.leasedKeys(), keyCount) << i;
    }
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against keys that stay with an upstream that is unavailable.
TEST(LeaseDelivery, movesTheKeysOfACrashedUpstream)
{
    CallSimulation simulation;
    simulation.run(400);
    simulation.apply({ CallFaultKind::Crash, 1, 2, 0 });
    simulation.run(700);
    EXPECT_EQ(simulation.leasedKeys(), keyCount);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against calls that are refused again and again, and against keys that no upstream takes
// because the token of the leader is too low.
TEST(LeaseDelivery, raisesATokenThatWasRefused)
{
    CallSimulation simulation;
    simulation.raiseFence(2, 8); // the first assignment has the tokens 1 to 5
    simulation.run(2500);
    EXPECT_EQ(simulation.leasedKeys(), keyCount);
    EXPECT_LE(simulation.refusalCount(), 6);
}

// Guards against calls to upstreams that need none: each lease is renewed once per interval.
TEST(LeaseDelivery, callsEachUpstreamOncePerInterval)
{
    CallSimulation simulation;
    simulation.run(500);
    const int before = simulation.callCount();
    simulation.run(1000);
    EXPECT_LE(simulation.callCount() - before, upstreamCount * 11);
}
