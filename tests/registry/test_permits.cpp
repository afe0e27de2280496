/** Permits for requests to cold upstreams, as the hosts of a control group grant them. */
#include "registrygroup.h"

#include <algorithm>

using namespace cassiaroad;

namespace {

const std::string service = "orders";
const HostAddress address { "10.0.0.1", 80 };
constexpr double statedRate = 5.5; // requests/s
constexpr std::uint32_t limit = 16; // of a window: rate x 1.5 + 8
// A second, the lifetime of a permit and the margin for the drift of clocks.
constexpr Milliseconds firstWindow { 1600 };

/** A control group whose configuration has a service that states a rate. */
class RegistryPermitsTest : public RegistryGroupTest
{
protected:
    enum class Outcome { Granted, Refused, Failed };

    RegistryPermitsTest() { this->codec.services[service].coldRate = statedRate; }

    void putConfiguration(RegistryEngine &leader)
    {
        std::optional<PutResult> result;
        leader.put({ 0, "{}" }, [&](const PutResult &value) { result = value; });
        ASSERT_TRUE(waitUntil(this->loop, [&] { return result.has_value(); }));
        ASSERT_EQ(*result, PutResult(PutOutcome::Accepted));
    }

    // A leader may have a lease while one host is not a voter yet; the two others could not elect
    // its successor.
    bool waitUntilAllVote()
    {
        return waitUntil(this->loop, [&] {
            return std::all_of(this->hosts.begin(), this->hosts.end(), [](const auto &host) {
                return host->engine.member().voterCount() == hostCount;
            });
        });
    }

    // Asks @p host for many permits; counts those that it grants.
    Outcome ask(RegistryEngine &host)
    {
        std::optional<Outcome> outcome;
        const kj::Promise<void> call
                = host.grantPermits({ "front-1", { { service, address, 100 } } })
                          .then(
                                  [&](const PermitReply &reply) {
                                      EXPECT_EQ(reply.grants.size(), 1U);
                                      const std::uint32_t count
                                              = reply.grants.empty() ? 0 : reply.grants[0].count;
                                      this->granted += count;
                                      outcome = count > 0 ? Outcome::Granted : Outcome::Refused;
                                  },
                                  [&](const kj::Exception &) { outcome = Outcome::Failed; })
                          .eagerlyEvaluate(nullptr);
        EXPECT_TRUE(waitUntil(this->loop, [&] { return outcome.has_value(); }));
        return outcome.value_or(Outcome::Failed);
    }

    // Returns the host that leads, with or without a lease, or null. Until then it sets
    // lastWithoutLeader.
    RegistryEngine *waitForNextLeader()
    {
        RegistryEngine *next = nullptr;
        waitUntil(this->loop, [&] {
            for (const auto &host : this->hosts) {
                next = host->engine.member().isLeader() ? &host->engine : next;
            }
            this->lastWithoutLeader = next == nullptr ? this->loop.now() : this->lastWithoutLeader;
            return next != nullptr;
        });
        return next;
    }

    TimePoint lastWithoutLeader;
    std::uint32_t granted = 0;
};

} // namespace

// Guards against a leader that grants permits while those of its predecessor may still be used, and
// against one that grants none after that time.
TEST_F(RegistryPermitsTest, areGrantedByANewLeaderAfterItsFirstWindow)
{
    RegistryEngine *first = this->waitForLeader();
    ASSERT_NE(first, nullptr);
    this->putConfiguration(*first);
    ASSERT_TRUE(this->waitUntilAllVote());
    std::erase_if(this->hosts, [&](const auto &host) { return &host->engine == first; });
    RegistryEngine *next = this->waitForNextLeader();
    ASSERT_NE(next, nullptr);

    int refused = 0;
    Outcome outcome = Outcome::Refused;
    const TimePoint end = this->loop.now() + testTimeout;
    while (outcome != Outcome::Granted && this->loop.now() < end) {
        runFor(this->loop, { 5 });
        outcome = this->ask(*next);
        refused += outcome == Outcome::Refused ? 1 : 0;
    }
    ASSERT_EQ(outcome, Outcome::Granted);
    EXPECT_GE(this->loop.now() - this->lastWithoutLeader, firstWindow);
    EXPECT_GT(refused, 0);
    EXPECT_LE(this->granted, limit);
}

// Guards against a host that answers for the leader: a gateway would take its reply for a decision
// and not ask the leader, and grants of two hosts add up.
TEST_F(RegistryPermitsTest, areNotGrantedByAHostThatDoesNotLead)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    this->putConfiguration(*leader);
    ASSERT_NE(this->ask(*leader), Outcome::Failed);
    this->granted = 0;
    for (const auto &host : this->hosts) {
        if (&host->engine != leader) {
            EXPECT_EQ(this->ask(host->engine), Outcome::Failed) << host->settings.host;
        }
    }
    EXPECT_EQ(this->granted, 0U);
}
