#include "coldsite.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr std::uint64_t upstreams = 12; // simulated one after the other
const std::vector<std::size_t> sizes { 59, 114, 300 };
constexpr Milliseconds calm { 7000 };

// Calls @p scenario with a site of each size, whose gateways all have requests at all times, for
// several upstreams, and checks the limit.
template <typename Scenario>
void checkLimit(const Scenario &scenario)
{
    for (const std::size_t size : sizes) {
        for (std::uint64_t seed = 0; seed < upstreams; ++seed) {
            ColdSite site(size, ColdSite::allGatewaysHungry, seed);
            scenario(site);
            EXPECT_LE(site.busiestSecond(), ColdSite::allowed()) << size << " " << seed;
        }
    }
}

} // namespace

// Guards against a cold upstream that crashes since each of many gateways sends it one request, and
// against one that is left idle.
TEST(ColdUpstream, getsWhatItCanHandle)
{
    for (const std::size_t size : sizes) {
        int sent = 0;
        for (std::uint64_t seed = 0; seed < upstreams; ++seed) {
            ColdSite site(size, ColdSite::allGatewaysHungry, seed);
            site.run(calm);
            EXPECT_LE(site.busiestSecond(), ColdSite::allowed()) << size << " " << seed;
            site.restartCounts();
            site.run({ 20000 });
            EXPECT_LE(site.busiestSecond(), ColdSite::allowed()) << size << " " << seed;
            sent += site.started();
        }
        const double perSecond = sent / 20.0 / upstreams;
        EXPECT_GT(perSecond, 0.5 * ColdSite::rate) << size;
        EXPECT_LT(perSecond, ColdSite::rate) << size;
    }
}

// Guards against permits that idle gateways save, and use at the same moment.
TEST(ColdUpstream, keepsTheLimitWhenAllGatewaysGetRequestsAtOnce)
{
    checkLimit([](ColdSite &site) {
        site.setDemand(0.0);
        site.run({ 30000 });
        site.setDemand(ColdSite::allGatewaysHungry);
        site.run({ 3000 });
    });
}

// Guards against a burst of gateways that return at the same moment.
TEST(ColdUpstream, keepsTheLimitWhenFiftyGatewaysReturnAtOnce)
{
    for (std::uint64_t seed = 0; seed < 10 * upstreams; ++seed) {
        ColdSite site(9, ColdSite::allGatewaysHungry, seed);
        site.run(calm);
        site.start(50);
        site.run({ 10000 });
        EXPECT_LE(site.busiestSecond(), ColdSite::allowed()) << seed;
    }
}

// Guards against gateways that forget at a restart what their earlier processes have sent.
TEST(ColdUpstream, keepsTheLimitWhenAllGatewaysRestart)
{
    checkLimit([](ColdSite &site) {
        site.run(calm);
        for (int i = 0; i < 8; ++i) {
            site.restartAll();
            site.run({ 1000 });
        }
    });
}

// Guards against permits of an earlier leader that are used beside those of the next one, and
// against a cold upstream that gets nothing while leaders change.
TEST(ColdUpstream, keepsTheLimitWhenLeadersChangeInTurn)
{
    checkLimit([](ColdSite &site) {
        site.run(calm);
        for (const std::int64_t term : { 300, 1700, 40, 2500, 1600, 1650, 5000 }) {
            site.changeLeader();
            site.run({ term });
        }
        EXPECT_GT(site.started(), 0);
    });
}

// Guards against permits that are used long after they were granted, since links are slow.
TEST(ColdUpstream, keepsTheLimitOverSlowLinks)
{
    checkLimit([](ColdSite &site) {
        site.setDelay({ 1 }, { 400 });
        site.run({ 10000 });
        site.setDelay({ 300 }, { 3000 });
        site.run({ 10000 });
        site.setDelay({ 1 }, { 10 });
        site.run({ 5000 });
    });
}

// Guards against gateways that go on sending without a leader, and against a cold upstream that
// gets nothing for long once there is one again.
TEST(ColdUpstream, getsNothingWithoutALeaderAndRequestsSoonAfterIt)
{
    ColdSite site(114, ColdSite::allGatewaysHungry, 1);
    site.run(calm);
    site.setLeader(false);
    site.run({ 1000 });
    EXPECT_LE(site.busiestSecond(), ColdSite::allowed());
    site.restartCounts();
    site.run({ 30000 });
    EXPECT_EQ(site.started(), 0);
    site.changeLeader();
    site.setLeader(true);
    site.run({ 2000 });
    EXPECT_GT(site.started(), 0);
    site.run({ 2000 });
    EXPECT_GT(site.started(), 2.0 * ColdSite::rate);
    EXPECT_LE(site.busiestSecond(), ColdSite::allowed());
}
