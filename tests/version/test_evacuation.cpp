#include "sitesimulation.h"

#include "version/evacuationorder.h"
#include "version/sitejson.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

const std::string zone = "b";

// Returns a site whose last two upstreams are in `zone`, after the first assignment of keys.
SiteSimulation siteOfTwoZones()
{
    SiteSimulation simulation;
    simulation.setZone(3, zone);
    simulation.setZone(4, zone);
    simulation.run(400);
    return simulation;
}

SiteUpstream upstreamIn(const std::string &itsZone)
{
    return { { "i-" + itsZone, 1 }, "ledger", { "10.0.0.1", 80 }, itsZone, 6, {} };
}

} // namespace

// Guards against an order whose repetition has another result than the order itself.
TEST(ZoneEvacuations, acceptsAnOrderTwice)
{
    ZoneEvacuations evacuations;
    EXPECT_FALSE(evacuations.apply({ zone, false }));
    EXPECT_TRUE(evacuations.apply({ zone, true }));
    EXPECT_FALSE(evacuations.apply({ zone, true }));
    EXPECT_TRUE(evacuations.contains(zone));
    EXPECT_TRUE(evacuations.apply({ zone, false }));
    EXPECT_FALSE(evacuations.apply({ zone, false }));
    EXPECT_FALSE(evacuations.contains(zone));
    EXPECT_TRUE(evacuations.hasOrderFor(zone));
}

// Guards against hosts that disagree when a start and an end cross: the order of the log counts.
TEST(RegistryState, appliesCrossingOrdersInTheOrderOfTheLog)
{
    RegistryState state;
    for (const bool started : { true, false, true }) {
        state.apply(OrderEvacuation { { zone, started } });
        EXPECT_EQ(state.mayBeGivenWork(upstreamIn(zone)), !started);
        EXPECT_TRUE(state.mayBeGivenWork(upstreamIn("a")));
    }
}

// Guards against a control host that cannot start with a snapshot of a version without evacuations.
TEST(RegistryState, readsSnapshotsWithoutEvacuations)
{
    const std::string bytes = RegistryState().encode();
    nlohmann::json value = nlohmann::json::from_cbor(bytes.begin(), bytes.end());
    ASSERT_EQ(value.erase("evacuations"), 1U);
    EXPECT_EQ(RegistryState::decode(toCborText(value)), RegistryState());
}

// Guards against orders for zones that do not exist, and against an order whose repetition is
// refused because the upstreams of its zone have gone since.
TEST(EvacuationOrder, knowsTheZonesOfSettingsUpstreamsAndEarlierOrders)
{
    SiteSettings settings;
    settings.zone = "own";
    settings.regions = { { "other", "r" } };
    RegistryState state;
    EXPECT_TRUE(findUnknownZoneReason(zone, state, settings).has_value());
    EXPECT_FALSE(findUnknownZoneReason("own", state, settings).has_value());
    EXPECT_FALSE(findUnknownZoneReason("other", state, settings).has_value());
    state.apply(RegisterSiteUpstream { upstreamIn(zone) });
    EXPECT_FALSE(findUnknownZoneReason(zone, state, settings).has_value());
    state.apply(OrderEvacuation { { zone, true } });
    state.apply(OrderEvacuation { { zone, false } });
    state.apply(RemoveSiteUpstream { upstreamIn(zone).incarnation });
    EXPECT_FALSE(findUnknownZoneReason(zone, state, settings).has_value());
}

// Guards against keys that stay in an evacuated zone, or that move there.
TEST(Evacuation, movesAllKeysToOtherZones)
{
    SiteSimulation simulation = siteOfTwoZones();
    ASSERT_GT(simulation.keysOf(3) + simulation.keysOf(4), 0U);
    simulation.order({ zone, true });
    simulation.run(250);
    for (int i = 0; i < 20; ++i) {
        simulation.run(50);
        EXPECT_EQ(simulation.keysOf(3) + simulation.keysOf(4), 0U) << i;
        EXPECT_EQ(simulation.leasedKeys(), keyCount) << i;
    }
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against an upstream of an evacuated zone that gets its keys again by a restart.
TEST(Evacuation, givesARestartedUpstreamNoKeys)
{
    SiteSimulation simulation = siteOfTwoZones();
    simulation.order({ zone, true });
    simulation.apply({ FaultKind::Restart, 1, 3, 0 });
    for (int i = 0; i < 20; ++i) {
        simulation.run(30);
        EXPECT_EQ(simulation.keysOf(3), 0U) << i;
    }
    EXPECT_EQ(simulation.leasedKeys(), keyCount);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against a zone that stays out of use after the withdrawal.
TEST(Evacuation, returnsKeysAfterItsEnd)
{
    SiteSimulation simulation = siteOfTwoZones();
    simulation.order({ zone, true });
    simulation.run(400);
    simulation.order({ zone, false });
    simulation.run(2000);
    EXPECT_GT(simulation.keysOf(3), 0U);
    EXPECT_GT(simulation.keysOf(4), 0U);
    EXPECT_EQ(simulation.leasedKeys(), keyCount);
}

// Guards against keys without an owner after the withdrawal when all upstreams were evacuated.
TEST(Evacuation, keepsTheKeysOfAServiceWithoutOtherZones)
{
    SiteSimulation simulation;
    simulation.run(400);
    simulation.order({ "a", true });
    simulation.run(800);
    simulation.order({ "a", false });
    simulation.run(250);
    EXPECT_EQ(simulation.leasedKeys(), keyCount);
    EXPECT_EQ(simulation.violation(), "");
}

// Guards against two upstreams with a lease on the same key after evacuations that begin and end
// between other faults.
RC_GTEST_PROP(EvacuationProperties, neverLeasesAKeyToTwoUpstreams, ())
{
    SiteSimulation simulation(*rc::gen::inRange(0, 50));
    simulation.setZone(3, zone);
    simulation.setZone(4, zone);
    simulation.run(300);
    const int count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
        simulation.apply({ static_cast<FaultKind>(*rc::gen::inRange(0, 9)),
                           *rc::gen::inRange(1, 250), *rc::gen::inRange(0, 5),
                           *rc::gen::inRange(10, 600) });
        simulation.order(
                { *rc::gen::element<std::string>("a", zone), *rc::gen::arbitrary<bool>() });
        RC_ASSERT(simulation.violation() == "");
    }
    simulation.run(1000);
    RC_ASSERT(simulation.violation() == "");
}
