/**
 * Cost of decisions when a sixth of a large site's upstreams falls silent at once. A leader that
 * spends all its time on them answers neither gateways nor operators.
 */
#include "processortime.h"

#include "version/registrymanager.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr int upstreamCount = 720;
constexpr int silentCount = upstreamCount / 6;
constexpr TimePoint start { 1000000 };
constexpr Milliseconds silence { 3000 }; // more than 2.5 heartbeat intervals
const std::string service = "store";

UpstreamReport reportOf(int number, std::uint64_t sequence)
{
    UpstreamReport report;
    report.incarnation = { "upstream-" + std::to_string(number), std::uint64_t(number + 1) };
    report.service = service;
    report.address = { "10.0.0." + std::to_string(number), 80 };
    report.slots = 6;
    report.sequence = sequence;
    return report;
}

/** A leader. Commands that it decides on are proposed and never committed. */
class LargeSite
{
public:
    LargeSite()
        : manager(this->state, {})
    {
        auto configuration = std::make_shared<SiteConfiguration>();
        configuration->version = 1;
        configuration->services[service].keyed = false;
        this->manager.setConfiguration(configuration);
        this->manager.startTerm(start);
    }

    // Sends the heartbeats of all upstreams from @p first on.
    void sendHeartbeats(int first, std::uint64_t sequence, TimePoint now)
    {
        for (int i = first; i < upstreamCount; ++i) {
            const UpstreamReport report = reportOf(i, sequence);
            for (const RegistryCommand &command : this->manager.onHeartbeat(report, now).commands) {
                this->state.apply(command);
            }
        }
    }

    // Returns the time that decisions take which follow each other closely from @p now on.
    std::int64_t decisionTime(TimePoint now)
    {
        constexpr int repetitions = 100;
        return leastProcessorTime([&] {
            for (int i = 0; i < repetitions; ++i) {
                now = now + Milliseconds { 2 };
                this->manager.dueCommands(now);
            }
        });
    }

private:
    RegistryState state;
    RegistryManager manager;
};

} // namespace

// Guards against decisions whose cost is the product of all upstreams and the silent ones.
TEST(MassSilence, takesAboutTheUsualTimeToDecide)
{
    LargeSite site;
    site.sendHeartbeats(0, 1, start);
    const std::int64_t usual = site.decisionTime(start);
    site.sendHeartbeats(silentCount, 2, start + silence);
    const std::int64_t withSilentOnes = site.decisionTime(start + silence);
    constexpr std::int64_t maxFactor = 5;
    EXPECT_LT(withSilentOnes, usual * maxFactor);
}
