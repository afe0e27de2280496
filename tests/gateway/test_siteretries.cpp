#include "request/siteretrybudget.h"
#include "version/registrymanager.h"

#include <gtest/gtest.h>

#include <array>
#include <random>

using namespace cassiaroad;

namespace {

// A site of the size at which the limit was exceeded.
constexpr std::size_t gatewayCount = 77;
constexpr Milliseconds requestInterval { 110 }; // of each gateway; all requests fail
constexpr double share = 0.2;
constexpr double slack = 194.0;
constexpr Milliseconds window { 10000 };
constexpr Milliseconds usualWatchInterval { 1000 };
constexpr Milliseconds slowWatchInterval { 3000 }; // over a full link
constexpr Milliseconds step { 11 };
constexpr Milliseconds duration { 60000 };
constexpr Milliseconds reportingTime { 700 }; // until all gateways have reported to a new leader

struct SimulatedGateway
{
    SiteRetryBudget budget { share, slack, window };
    std::uint32_t gateways = 0; // as the leader has told
    TimePoint nextReport;
    TimePoint nextRequest;
};

/** Gateways whose requests all fail, and the leader to which they report, in virtual time. */
class RetrySimulation
{
public:
    explicit RetrySimulation(Milliseconds watchInterval)
        : watchInterval(watchInterval)
    {
        this->manager.startTerm({});
        for (SimulatedGateway &gateway : this->gateways) {
            gateway.nextReport = TimePoint {} + this->upTo(this->watchInterval);
            gateway.nextRequest = TimePoint {} + this->upTo(requestInterval);
        }
    }

    void run(Milliseconds time)
    {
        for (const TimePoint end = this->now + time; this->now < end;
             this->now = this->now + step) {
            for (std::size_t i = 0; i < this->gateways.size(); ++i) {
                this->report(i);
                this->request(this->gateways[i]);
            }
        }
    }

    /** A new leader that knows none of the gateways. */
    void changeLeader()
    {
        this->manager.startTerm(this->now);
        for (SimulatedGateway &gateway : this->gateways) {
            gateway.nextReport = this->now + this->upTo(reportingTime);
        }
    }

    /** Largest number of retries in a window beyond what is allowed; negative if there is none. */
    double worstExcess() const
    {
        double worst = -slack;
        for (const auto &[start, counted] : this->retries) {
            double requestsInWindow = 0.0;
            double retriesInWindow = 0.0;
            for (const auto &[at, count] : this->requests) {
                requestsInWindow += isWithin(at, start) ? count : 0;
            }
            for (const auto &[at, count] : this->retries) {
                retriesInWindow += isWithin(at, start) ? count : 0;
            }
            worst = std::max(worst, retriesInWindow - share * requestsInWindow - slack);
        }
        return worst;
    }

private:
    static bool isWithin(TimePoint at, TimePoint start)
    {
        return at >= start && at < start + window;
    }

    Milliseconds upTo(Milliseconds bound)
    {
        return { std::uniform_int_distribution<std::int64_t>(0, bound.count)(this->random) };
    }

    void report(std::size_t number)
    {
        SimulatedGateway &gateway = this->gateways[number];
        if (this->now < gateway.nextReport) {
            return;
        }
        GatewayReport report;
        report.gateway = std::to_string(number);
        report.gateways = gateway.gateways;
        this->manager.onGatewayReport(report, this->now);
        gateway.gateways = this->manager.gatewayCount(this->now);
        gateway.budget.setGateways(gateway.gateways, this->now);
        gateway.nextReport = this->now + this->watchInterval;
    }

    void request(SimulatedGateway &gateway)
    {
        if (this->now < gateway.nextRequest) {
            return;
        }
        gateway.nextRequest = gateway.nextRequest + requestInterval;
        gateway.budget.countRequest(this->now);
        ++this->requests[this->now];
        if (gateway.budget.take(this->now)) {
            ++this->retries[this->now];
        }
    }

    Milliseconds watchInterval;
    std::mt19937 random { 20261206 };
    RegistryState state;
    RegistryManager manager { this->state, {} };
    std::array<SimulatedGateway, gatewayCount> gateways;
    TimePoint now;
    std::map<TimePoint, int> requests;
    std::map<TimePoint, int> retries;
};

} // namespace

// Guards against more retries than all gateways together may send while all requests fail and the
// control group changes its leader: the first gateways to report took the site for a small one.
TEST(SiteRetries, staysWithinTheLimitWhenTheLeaderChanges)
{
    RetrySimulation simulation(slowWatchInterval);
    simulation.run(duration / 2);
    simulation.changeLeader();
    simulation.run(duration / 2);
    EXPECT_LE(simulation.worstExcess(), 0.0);
}

// Guards against the same while leaders follow each other quickly.
TEST(SiteRetries, staysWithinTheLimitWhenLeadersFollowEachOther)
{
    constexpr Milliseconds term { 1500 };
    RetrySimulation simulation(usualWatchInterval);
    simulation.run(duration / 2);
    for (int i = 0; i < 5; ++i) {
        simulation.changeLeader();
        simulation.run(term);
    }
    EXPECT_LE(simulation.worstExcess(), 0.0);
}

// Guards against exceeding the limit when a gateway joins: another one, which the leader cannot
// reach, may use the larger part of its earlier number until the lease on that number ends. The
// joining one may use its part only once that has left the window.
TEST(SiteRetries, staysWithinTheLimitWhenAGatewayJoins)
{
    constexpr TimePoint joinedAt { 100000 };
    const TimePoint leaseEnd = joinedAt + gatewayCountLease;
    SiteRetryBudget earlier(share, slack, window);
    for (std::int64_t ago = 15; ago >= 0; --ago) {
        earlier.setGateways(1, joinedAt - Milliseconds { ago * 1000 });
    }
    SiteRetryBudget joining(share, slack, window);
    joining.setGateways(2, joinedAt);
    joining.setGateways(2, joinedAt + window);
    int taken = 0;
    while (earlier.take(leaseEnd - Milliseconds { 1 })) {
        ++taken;
    }
    while (joining.take(joinedAt + window)) { // 5 s later
        ++taken;
    }
    EXPECT_LE(taken, slack);
}

// Guards against exceeding the limit when gateways find their first leader later than one window
// after their start: each is told the number of those that have reported before it.
TEST(SiteRetries, staysWithinTheLimitWhenGatewaysFindTheirFirstLeaderLate)
{
    constexpr TimePoint leaderStart { 12000 }; // the gateways have started at 0
    constexpr Milliseconds reportInterval { 10 };
    RegistryState state;
    RegistryManager manager(state, {});
    manager.startTerm(leaderStart);
    int taken = 0;
    TimePoint now = leaderStart;
    for (std::size_t i = 0; i < gatewayCount; ++i) {
        now = now + reportInterval;
        GatewayReport report;
        report.gateway = "front-" + std::to_string(i);
        manager.onGatewayReport(report, now);
        SiteRetryBudget budget(share, slack, window);
        budget.setGateways(manager.gatewayCount(now), now);
        while (budget.take(now)) {
            ++taken;
        }
    }
    EXPECT_LE(taken, slack);
}
