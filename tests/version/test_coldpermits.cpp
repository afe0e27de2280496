#include "leasesimulation.h"

#include "version/coldpermits.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

using namespace cassiaroad;

namespace {

constexpr Milliseconds window { 1500 }; // a second and the lifetime of a permit
const HostAddress address { "10.0.0.1", 80 };
const TimePoint start { 1000000 };

/** What was granted for one address. */
struct Granted
{
    TimePoint at;
    std::uint32_t count = 0;
};

// Returns the most permits that were granted in a window.
std::uint32_t mostInAWindow(const std::vector<Granted> &grants)
{
    std::uint32_t most = 0;
    std::uint32_t inWindow = 0;
    std::size_t first = 0;
    for (const Granted &grant : grants) {
        inWindow += grant.count;
        while (grant.at - grants[first].at > window) {
            inWindow -= grants[first++].count;
        }
        most = std::max(most, inWindow);
    }
    return most;
}

PermitAsk askFor(std::uint32_t count, const HostAddress &to = address)
{
    return { "orders", to, count };
}

// Returns what is granted if a gateway asks each 10 ms for more than there is.
std::uint32_t grantedTo(ColdPermits &permits, double rate, TimePoint from, Milliseconds duration)
{
    std::uint32_t granted = 0;
    for (TimePoint now = from; now < from + duration; now = now + Milliseconds { 10 }) {
        granted += permits.grant(askFor(1000), rate, now).count;
    }
    return granted;
}

} // namespace

// Guards against a cold upstream that gets more than it can handle in some second, by any order of
// asks, changes of the rate and changes of the leader.
RC_GTEST_PROP(ColdPermits, grantNoMoreThanTheLimitInAnyWindow, ())
{
    const double over = *rc::gen::inRange(0, 31) / 10.0;
    const double slack = *rc::gen::inRange(0, 21);
    const std::vector<double> rates { 0.1, 1.0, 5.5, 50.0, 1000.0 };
    double rate = *rc::gen::elementOf(rates);
    double limit = std::floor(rate * over + slack);
    auto permits = std::make_unique<ColdPermits>(ColdBounds { over, slack });
    permits->startTerm(start);
    std::map<HostAddress, std::vector<Granted>> granted;
    TimePoint now = start;
    const int steps = *rc::gen::inRange(1, 300);
    for (int i = 0; i < steps; ++i) {
        now = now
              + Milliseconds { *rc::gen::weightedElement<std::int64_t>(
                      { { 4, 0 }, { 4, 7 }, { 3, 150 }, { 2, 700 }, { 1, 1600 }, { 1, 4000 } }) };
        switch (*rc::gen::weightedElement<int>(
                { { 20, 0 }, { 1, 1 }, { 1, 2 }, { 1, 3 }, { 1, 4 } })) {
        case 1:
            permits->startTerm(now);
            break;
        case 2:
            permits = std::make_unique<ColdPermits>(ColdBounds { over, slack });
            permits->startTerm(now);
            break;
        case 3:
            permits->forgetIdle(now);
            break;
        case 4:
            rate = *rc::gen::elementOf(rates);
            limit = std::max(limit, std::floor(rate * over + slack));
            break;
        default: {
            const HostAddress to { "10.0.0.1", *rc::gen::inRange<std::uint16_t>(80, 83) };
            const auto count
                    = *rc::gen::weightedElement<std::uint32_t>({ { 3, 1 }, { 1, 5 }, { 1, 500 } });
            const PermitGrant grant = permits->grant(askFor(count, to), rate, now);
            RC_ASSERT(grant.address == to);
            RC_ASSERT(grant.count <= count);
            RC_ASSERT((grant.retryAfter > Milliseconds {}) == (grant.count < count));
            granted[to].push_back({ now, grant.count });
            break;
        }
        }
    }
    for (const auto &[to, grants] : granted) {
        RC_ASSERT(mostInAWindow(grants) <= limit);
    }
}

// Guards against a bound that only suits one rate, and against an upstream that is left idle.
TEST(ColdPermits, staysBelowTheLimitAtAnyRate)
{
    for (const double rate : { 0.1, 1.0, 5.5, 50.0, 1000.0 }) {
        ColdPermits permits({ 1.5, 8.0 });
        permits.startTerm(start);
        grantedTo(permits, rate, start, { 20000 });
        const double perSecond
                = grantedTo(permits, rate, start + Milliseconds { 20000 }, { 40000 }) / 40.0;
        EXPECT_GT(perSecond, 0.25 * rate) << rate;
        EXPECT_LE(perSecond, rate) << rate;
        ColdPermits none({ 0.0, 0.0 });
        EXPECT_EQ(grantedTo(none, rate, start, { 20000 }), 0U) << rate;
    }
}

// Guards against permits of an earlier leader that are used beside those of the next one.
TEST(ColdPermits, grantsNothingInTheFirstWindowOfATerm)
{
    ColdPermits permits({ 1.5, 8.0 });
    permits.startTerm(start);
    EXPECT_EQ(grantedTo(permits, 5.5, start, window), 0U);
    EXPECT_GT(grantedTo(permits, 5.5, start + window, { 1000 }), 0U);
    permits.startTerm(start + Milliseconds { 5000 });
    EXPECT_EQ(grantedTo(permits, 5.5, start + Milliseconds { 5000 }, window), 0U);
}

// Guards against an owner whose whole demand it could handle, and that is refused some.
TEST(ColdPermits, grantsAllOfADemandBelowTheStatedRate)
{
    ColdPermits permits({ 1.5, 8.0 });
    permits.startTerm(start);
    for (int i = 0; i < 100; ++i) {
        const TimePoint now = start + Milliseconds { 2000 + 200 * i };
        EXPECT_EQ(permits.grant(askFor(1), 5.5, now).count, 1U) << i;
    }
}

// Guards against gateways that come back in vain, or all at the time of the same token.
TEST(ColdPermits, tellsRefusedGatewaysDifferentTimes)
{
    ColdPermits permits({ 1.5, 8.0 });
    permits.startTerm(start);
    const TimePoint now = start + Milliseconds { 10000 };
    permits.grant(askFor(100), 5.5, now);
    const Milliseconds first = permits.grant(askFor(1), 5.5, now).retryAfter;
    const Milliseconds second = permits.grant(askFor(1), 5.5, now).retryAfter;
    EXPECT_GT(second - first, Milliseconds { 100 });
    EXPECT_EQ(permits.grant(askFor(1), 5.5, now + first).count, 1U);
    EXPECT_EQ(permits.grant(askFor(1), 5.5, now + second).count, 1U);
}

// Guards against a memory of addresses that grows for good, and against grants that are forgotten
// while they count.
TEST(ColdPermits, forgetsOnlyWhatIsAsGoodAsNew)
{
    ColdPermits permits({ 1.5, 8.0 });
    permits.startTerm(start);
    const TimePoint now = start + Milliseconds { 10000 };
    const std::uint32_t most = permits.grant(askFor(100), 5.5, now).count;
    permits.forgetIdle(now + Milliseconds { 1000 });
    EXPECT_EQ(permits.size(), 1U);
    EXPECT_LT(permits.grant(askFor(100), 5.5, now + Milliseconds { 1000 }).count, most);
    permits.forgetIdle(now + Milliseconds { 10000 });
    EXPECT_EQ(permits.size(), 0U);
}

// Guards against a gateway that is refused since the leader states no rate any more, and against
// permits for services that the leader does not know.
TEST(RegistryPermits, followTheConfiguration)
{
    RegistryState state;
    RegistryManager manager(state, simulatedTiming());
    EXPECT_TRUE(manager.grantPermits({ "g", { askFor(1) } }, start).grants.empty());
    auto configuration = std::make_shared<SiteConfiguration>();
    configuration->services["orders"].coldRate = 5.5;
    configuration->services["free"];
    manager.setConfiguration(configuration);
    manager.startTerm(start);
    const TimePoint now = start + Milliseconds { 3000 };
    const PermitRequest request {
        "g", { askFor(100), { "free", address, 100 }, { "other", address, 1 } }
    };
    const PermitReply early = manager.grantPermits(request, start);
    ASSERT_EQ(early.grants.size(), 2U);
    EXPECT_EQ(early.grants[0].count, 0U);
    EXPECT_EQ(early.grants[1], (PermitGrant { address, 100, {} }));
    const PermitReply reply = manager.grantPermits(request, now);
    EXPECT_GT(reply.grants[0].count, 0U);
    EXPECT_LE(reply.grants[0].count, 16U);
    manager.startTerm(now);
    EXPECT_EQ(manager.grantPermits(request, now + Milliseconds { 1000 }).grants[0].count, 0U);
}

// Guards against messages that lose a field.
TEST(PermitCall, survivesEncoding)
{
    const PermitRequest request { "front-1", { askFor(3), { "maps", { "10.0.0.9", 81 }, 1 } } };
    EXPECT_EQ(decodePermitRequest(encode(request)), request);
    const PermitReply reply { { { address, 2, { 180 } }, { { "10.0.0.9", 81 }, 0, {} } } };
    EXPECT_EQ(decodePermitReply(encode(reply)), reply);
}

// Guards against bytes of another sender that end the process.
RC_GTEST_PROP(PermitCall, survivesAnyBytes, (const std::string &bytes))
{
    decodePermitRequest(bytes);
    decodePermitReply(bytes);
}
