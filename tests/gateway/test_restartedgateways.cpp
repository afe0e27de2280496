#include "request/siteretrybudget.h"
#include "version/registrymanager.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

using namespace cassiaroad;

namespace {

constexpr double share = 0.2;
constexpr double slack = 60.0;
constexpr Milliseconds window { 10000 };
constexpr Milliseconds step { 50 };
constexpr std::int64_t windowSteps = window.count / step.count;
constexpr std::size_t gatewayNumbers = 6;
constexpr int maxRetries = 2; // of a request
constexpr Milliseconds watchInterval { 1000 };
constexpr Milliseconds calm { 16000 }; // gateways may use the fixed number after it

enum class ChangeKind { Kill, Start, Restart, NewLeader, Fail, Serve, Count };

/** A change of the site, @p after the previous one. */
struct Change
{
    Milliseconds after;
    ChangeKind kind = ChangeKind::Kill;
    std::size_t gateway = 0;
};

/** A process of a gateway. */
struct Process
{
    SiteRetryBudget budget { share, slack, window };
    std::uint32_t gateways = 0; // as the leader has told
    TimePoint nextReport;
};

/** Requests and retries of a step, of all gateways. */
struct Traffic
{
    int requests = 0;
    int retries = 0;
};

/** Gateways that start and end, and the leader to which they report, in virtual time. */
class Site
{
public:
    /** @p requests: those that each gateway gets in a step while it runs. */
    explicit Site(const std::vector<int> &requests)
        : requests(requests)
        , processes(requests.size())
    {
        this->manager.startTerm({});
        for (std::optional<Process> &process : this->processes) {
            process.emplace();
        }
    }

    void run(Milliseconds time)
    {
        for (const TimePoint end = this->now + time; this->now < end;
             this->now = this->now + step) {
            this->steps.emplace_back();
            for (std::size_t i = 0; i < this->processes.size(); ++i) {
                if (this->processes[i]) {
                    this->report(i);
                    this->serve(i);
                }
            }
        }
    }

    void apply(const Change &change)
    {
        std::optional<Process> &process = this->processes[change.gateway];
        switch (change.kind) {
        case ChangeKind::Kill:
            process.reset();
            return;
        case ChangeKind::Start:
            if (process) {
                return;
            }
            [[fallthrough]];
        case ChangeKind::Restart:
            process.emplace();
            process->nextReport = this->now;
            return;
        case ChangeKind::NewLeader:
            this->manager.startTerm(this->now);
            return;
        case ChangeKind::Fail:
        case ChangeKind::Serve:
        case ChangeKind::Count:
            this->fails = change.kind == ChangeKind::Fail;
            return;
        }
    }

    /** Largest number of retries in a window beyond what is allowed; negative if there is none. */
    double worstExcess() const
    {
        const auto stepCount = static_cast<std::int64_t>(this->steps.size());
        double worst = -slack;
        for (std::int64_t start = 0; start < stepCount; ++start) {
            const int counted = std::max({ this->between(start).requests,
                                           this->between(start - windowSteps / 2).requests,
                                           this->between(start - windowSteps).requests });
            worst = std::max(worst, this->between(start).retries - share * counted - slack);
        }
        return worst;
    }

private:
    // Traffic of the window that begins with a step.
    Traffic between(std::int64_t start) const
    {
        const auto stepCount = static_cast<std::int64_t>(this->steps.size());
        Traffic sum;
        for (std::int64_t i = std::max<std::int64_t>(start, 0);
             i < std::min(start + windowSteps, stepCount); ++i) {
            sum.requests += this->steps[static_cast<std::size_t>(i)].requests;
            sum.retries += this->steps[static_cast<std::size_t>(i)].retries;
        }
        return sum;
    }

    void report(std::size_t number)
    {
        Process &process = *this->processes[number];
        if (this->now < process.nextReport) {
            return;
        }
        GatewayReport report;
        report.gateway = "front-" + std::to_string(number);
        report.gateways = process.gateways;
        this->manager.onGatewayReport(report, this->now);
        process.gateways = this->manager.gatewayCount(this->now);
        process.budget.setGateways(process.gateways, this->now);
        process.nextReport = this->now + watchInterval;
    }

    void serve(std::size_t number)
    {
        SiteRetryBudget &budget = this->processes[number]->budget;
        for (int i = 0; i < this->requests[number]; ++i) {
            budget.countRequest(this->now);
            ++this->steps.back().requests;
            for (int j = 0; this->fails && j < maxRetries && budget.take(this->now); ++j) {
                ++this->steps.back().retries;
            }
        }
    }

    std::vector<int> requests;
    RegistryState state;
    RegistryManager manager { this->state, {} };
    std::vector<std::optional<Process>> processes;
    bool fails = false;
    TimePoint now;
    std::vector<Traffic> steps;
};

rc::Gen<Change> anyChange()
{
    constexpr std::int64_t maxMilliseconds = 3000;
    const auto kinds = static_cast<int>(ChangeKind::Count);
    return rc::gen::apply(
            [](std::int64_t after, int kind, std::size_t gateway) {
                return Change { { after }, static_cast<ChangeKind>(kind), gateway };
            },
            rc::gen::inRange<std::int64_t>(0, maxMilliseconds), rc::gen::inRange(0, kinds),
            rc::gen::inRange<std::size_t>(0, gatewayNumbers));
}

} // namespace

// Guards against more retries in a window than the site allows, whichever gateways start, end and
// start again: a new process repeated by the share of its requests, although its predecessor had
// used up in the same window what the requests before it allowed.
RC_GTEST_PROP(RestartedGateways, stayWithinTheLimitOfTheSite, ())
{
    const auto requests
            = *rc::gen::container<std::vector<int>>(gatewayNumbers, rc::gen::inRange(0, 5));
    Site site(requests);
    site.run(calm);
    site.apply({ {}, ChangeKind::Fail, 0 });
    for (const Change &change : *rc::gen::container<std::vector<Change>>(anyChange())) {
        site.run(change.after);
        site.apply(change);
    }
    site.run(window);
    RC_ASSERT(site.worstExcess() <= 0.0);
}

// Guards against the same in the case in which it was seen: all gateways are killed and started
// again, one a second, from the moment on at which all requests fail.
TEST(RestartedGateways, stayWithinTheLimitWhenTheyAreRestartedInTurn)
{
    constexpr Milliseconds interval { 1000 };
    Site site(std::vector<int>(gatewayNumbers, 3));
    site.run(calm);
    site.apply({ {}, ChangeKind::Fail, 0 });
    for (std::size_t i = 0; i < gatewayNumbers; ++i) {
        site.run(interval);
        site.apply({ {}, ChangeKind::Restart, i });
    }
    site.run(window * 2);
    EXPECT_LE(site.worstExcess(), 0.0);
}
