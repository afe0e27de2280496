/**
 * Measures what a leading registry spends on the decisions for a large site: heartbeats of many
 * upstreams, reports of many gateways, moves of busy keys. Runs the pure code at virtual time and
 * prints the processor time of each step, and that of the busiest second. With LEAVING, so many
 * upstreams announce their shutdown in the middle of the run. With "calls", upstreams take their
 * leases by calls instead of heartbeats. Usage: registryload [UPSTREAMS GATEWAYS REQUESTS/S
 * [LEAVING [calls]]]
 */
#include "version/registrymanager.h"
#include "version/routingchange.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <random>
#include <string_view>

using namespace cassiaroad;

namespace {

constexpr std::int64_t runMilliseconds = 20000;
constexpr std::int64_t heartbeatInterval = 1500;
constexpr std::int64_t watchInterval = 600;
constexpr std::int64_t refreshInterval = 200;
constexpr std::int64_t commitDelay = 40;
constexpr std::int64_t releaseDelay = 10;
// From the start of the run until upstreams begin to leave, and until the last one has announced
// it.
constexpr std::int64_t leaveTime = 10000;
constexpr std::int64_t leaveDuration = 600;
// A leaving upstream sends heartbeats at this interval until it has released all keys, which it
// does when the requests in progress have ended.
constexpr std::int64_t releaseHeartbeatInterval = 100;
constexpr std::int64_t maxReleaseDuration = 800;
const std::string service = "ledger";

// Time from a call to its response.
constexpr std::int64_t callDuration = 5;

enum Step { Report, Response, Due, Gateways, Table, Change, Update, Call, CallEnd, StepCount };
constexpr std::array<const char *, StepCount> stepNames {
    "take heartbeat", "answer heartbeat", "find transfers", "take load", "build table",
    "encode change",  "encode update",    "find calls",     "end call",
};

struct LoadedUpstream
{
    UpstreamReport report;
    std::int64_t nextHeartbeat = 0;
    std::int64_t leavesAt = 0; // 0: stays
};

class RegistryLoadRun
{
public:
    RegistryLoadRun(int upstreams, int gateways, double requests, int leaving, bool byCall)
        : manager(this->state, timing())
        , gatewayCount(gateways)
        , requestsPerSecond(requests)
    {
        auto configuration = std::make_shared<SiteConfiguration>();
        configuration->services[service].keyed = true;
        configuration->services[service].leaseDelivery
                = byCall ? LeaseDelivery::Call : LeaseDelivery::Heartbeat;
        this->manager.setConfiguration(configuration);
        this->manager.startTerm({ this->now });
        for (int i = 0; i < upstreams; ++i) {
            LoadedUpstream upstream;
            upstream.report.incarnation = { "i-" + std::to_string(1000000 + i), this->now + i };
            upstream.report.service = service;
            upstream.report.address
                    = { "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1), 80 };
            upstream.report.zone = "a";
            upstream.report.slots = 6;
            upstream.nextHeartbeat = this->now + i * heartbeatInterval / upstreams;
            if (i < leaving) {
                upstream.leavesAt = this->now + leaveTime + i * leaveDuration / leaving;
            }
            this->upstreams.push_back(upstream);
        }
    }

    void run()
    {
        const std::int64_t end = this->now + runMilliseconds;
        std::int64_t nextReport = this->now;
        int gateway = 0;
        for (; this->now < end; ++this->now) {
            if (this->now % 1000 == 0) {
                this->startSecond();
            }
            while (!this->commits.empty() && this->commits.front().first <= this->now) {
                this->apply(this->commits.front().second);
                this->commits.pop_front();
            }
            for (LoadedUpstream &upstream : this->upstreams) {
                this->announceLeaving(upstream);
                if (upstream.nextHeartbeat <= this->now) {
                    this->sendHeartbeat(upstream);
                }
            }
            while (nextReport <= this->now) {
                this->reportLoad(gateway++ % this->gatewayCount);
                nextReport += watchInterval / this->gatewayCount;
            }
            this->endCalls();
            if (this->now % 50 == 0) {
                this->proposeDueCommands();
                this->sendCalls();
            }
            if (this->now % refreshInterval == 0) {
                this->refreshTable();
            }
        }
    }

    void print() const
    {
        double millisecondsPerSecond = 0.0;
        for (std::size_t i = 0; i < StepCount; ++i) {
            const double each = this->counts[i] == 0 ? 0.0 : this->elapsed[i] / this->counts[i];
            std::printf("%-18s %9d times %9.1f us each %9.2f ms a second\n", stepNames[i],
                        this->counts[i], each, this->elapsed[i] / runMilliseconds);
            millisecondsPerSecond += this->elapsed[i] / runMilliseconds;
        }
        const auto &ranges = this->state.ranges().at(service).owners();
        std::printf("all %.2f ms a second, %.2f ms in the busiest, %zu ranges, %d transfers\n",
                    millisecondsPerSecond, this->busiestSecond / 1000.0, ranges.size(),
                    this->transfers);
    }

private:
    static RegistryTiming timing()
    {
        RegistryTiming result;
        result.leases.leaseDuration = { 4500 };
        result.leases.leaseDurationOnLeaderClock = { 4840 };
        result.ranges.heartbeatInterval = { heartbeatInterval };
        return result;
    }

    template <typename Work>
    auto measure(Step step, Work work)
    {
        const auto start = std::chrono::steady_clock::now();
        auto result = work();
        const double duration = std::chrono::duration<double, std::micro>(
                                        std::chrono::steady_clock::now() - start)
                                        .count();
        this->elapsed[step] += duration;
        this->secondElapsed += duration;
        ++this->counts[step];
        return result;
    }

    void startSecond()
    {
        this->busiestSecond = std::max(this->busiestSecond, this->secondElapsed);
        this->secondElapsed = 0.0;
    }

    void announceLeaving(LoadedUpstream &upstream)
    {
        if (upstream.leavesAt != 0 && upstream.leavesAt <= this->now && !upstream.report.draining) {
            upstream.report.draining = true;
            upstream.nextHeartbeat = this->now;
        }
    }

    // Whether a leaving upstream still has requests in progress for its keys.
    bool isFinishingRequests(const LoadedUpstream &upstream) const
    {
        const std::int64_t duration = upstream.report.incarnation.born % maxReleaseDuration;
        return upstream.report.draining && this->now < upstream.leavesAt + duration;
    }

    void propose(const std::vector<RegistryCommand> &commands)
    {
        for (const RegistryCommand &command : commands) {
            this->commits.emplace_back(this->now + commitDelay, command);
        }
    }

    void apply(const RegistryCommand &command)
    {
        if (const auto *moved = std::get_if<TransferRanges>(&command)) {
            this->transfers += static_cast<int>(moved->transfers.size());
        }
        this->state.apply(command);
        this->manager.onCommandEnded(command);
        this->refreshTable();
    }

    void sendHeartbeat(LoadedUpstream &upstream)
    {
        UpstreamReport &report = upstream.report;
        ++report.sequence;
        const ReportResult result = this->measure(
                Report, [&] { return this->manager.onHeartbeat(report, { this->now }); });
        this->propose(result.commands);
        const HeartbeatResponse response = this->measure(
                Response, [&] { return this->manager.respond(report, { this->now }); });
        this->sendCalls();
        upstream.nextHeartbeat = this->now + heartbeatInterval;
        const bool releases = response.leases.size() < report.leases.size();
        if (this->isFinishingRequests(upstream)) {
            upstream.nextHeartbeat = this->now + releaseHeartbeatInterval;
        } else {
            report.leases = response.leases;
            if (releases) {
                upstream.nextHeartbeat = this->now + releaseDelay;
            }
        }
        if (this->manager.isReleasingFrom(report.incarnation)) {
            this->proposeDueCommands();
        }
        if (this->manager.changeCount() != this->changeCount) {
            this->refreshTable();
        }
    }

    void sendCalls()
    {
        const std::vector<LeaseCall> calls
                = this->measure(Call, [&] { return this->manager.dueLeaseCalls({ this->now }); });
        for (const LeaseCall &call : calls) {
            this->openCalls.emplace_back(this->now + callDuration, call.number);
        }
    }

    // Each call is accepted.
    void endCalls()
    {
        while (!this->openCalls.empty() && this->openCalls.front().first <= this->now) {
            this->measure(CallEnd, [&] {
                return this->manager.onLeaseCallEnded(this->openCalls.front().second,
                                                      LeaseCallAccepted {}, { this->now });
            });
            this->openCalls.pop_front();
        }
    }

    void proposeDueCommands()
    {
        this->propose(this->measure(Due, [&] { return this->manager.dueCommands({ this->now }); }));
    }

    // A tenth of the keys gets half of the requests, and which tenth changes.
    KeyNumber drawKey()
    {
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        const double hotStart = static_cast<double>(this->now / 5000 % 10) / 10.0;
        const double position = uniform(this->random) < 0.5
                                        ? hotStart + uniform(this->random) / 10.0
                                        : uniform(this->random);
        return static_cast<KeyNumber>(position * lastKey);
    }

    void reportLoad(int gateway)
    {
        GatewayReport report;
        report.gateway = "front-" + std::to_string(gateway);
        report.requests = static_cast<std::uint32_t>(this->requestsPerSecond * watchInterval
                                                     / 1000.0 / this->gatewayCount);
        for (std::uint32_t i = 0; i < report.requests; ++i) {
            report.keys.push_back({ service, this->drawKey(), 1 });
            const std::size_t upstream = this->random() % this->upstreams.size();
            report.timings.push_back({ this->upstreams[upstream].report.incarnation.id, 1, 500 });
        }
        const std::string bytes = encode(report);
        this->measure(Gateways, [&] {
            this->manager.onGatewayReport(*decodeGatewayReport(bytes), { this->now });
            return 0;
        });
        this->measure(Update, [&] {
            GatewayUpdate update;
            update.change = this->lastChange;
            update.trafficShare = this->manager.trafficShare(report.gateway, { this->now });
            update.gateways = this->manager.gatewayCount({ this->now });
            return encode(GatewayWatchReply(update));
        });
    }

    void refreshTable()
    {
        this->changeCount = this->manager.changeCount();
        RoutingTable current
                = this->measure(Table, [&] { return this->manager.routingTable({ this->now }); });
        if (current != this->table) {
            this->lastChange = this->measure(
                    Change, [&] { return encode(changeBetween(this->table, current)); });
            this->table = std::move(current);
        }
    }

    std::int64_t now = 1000000;
    RegistryState state;
    RegistryManager manager;
    std::vector<LoadedUpstream> upstreams;
    std::deque<std::pair<std::int64_t, RegistryCommand>> commits;
    std::deque<std::pair<std::int64_t, std::uint64_t>> openCalls; // end and number
    RoutingTable table;
    std::string lastChange;
    std::uint64_t changeCount = 0;
    int gatewayCount;
    double requestsPerSecond;
    int transfers = 0;
    std::mt19937 random { 1 };
    std::array<double, StepCount> elapsed {};
    std::array<int, StepCount> counts {};
    double secondElapsed = 0.0; // microseconds in the present second
    double busiestSecond = 0.0; // microseconds
};

} // namespace

int main(int argc, char **argv)
{
    const int upstreams = argc > 1 ? std::atoi(argv[1]) : 400;
    const int gateways = argc > 2 ? std::atoi(argv[2]) : 77;
    const double requests = argc > 3 ? std::atof(argv[3]) : 2300.0;
    const int leaving = argc > 4 ? std::atoi(argv[4]) : 0;
    const bool byCall = argc > 5 && std::string_view(argv[5]) == "calls";
    RegistryLoadRun run(upstreams, gateways, requests, leaving, byCall);
    run.run();
    run.print();
    return 0;
}
