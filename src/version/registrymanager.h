#pragma once

#include "version/rangesupervisor.h"
#include "version/sitewatch.h"

#include <memory>
#include <set>

namespace cassiaroad {

/** Durations of a registry; from the settings. */
struct RegistryTiming
{
    HoldTimes leases;
    RangeTiming ranges;
    Milliseconds forget { 30000 }; // how long an upstream that has ended is remembered

    bool operator==(const RegistryTiming &) const = default;
};

/** How a heartbeat is to be answered. */
enum class ReportVerdict {
    Accepted,
    Outdated, // of a life that has ended, or overtaken by a later one: it changes nothing
};

struct ReportResult
{
    ReportVerdict verdict = ReportVerdict::Accepted;
    std::vector<RegistryCommand> commands; // to be committed before the answer
};

/**
 * Decisions of the leader of a control group whose upstreams hold key ranges. It reads the
 * replicated state and returns the commands that change it. Pure; not thread-safe.
 */
class RegistryManager
{
public:
    /** @p state must outlive the manager. */
    RegistryManager(const RegistryState &state, RegistryTiming timing);

    /** This member has become leader and has applied every earlier command. */
    void startTerm(TimePoint now);

    /** Takes the services of the configuration in force. */
    void setConfiguration(std::shared_ptr<const SiteConfiguration> configuration);

    /** Takes a heartbeat. */
    ReportResult onReport(const UpstreamReport &report, TimePoint now);

    /** Returns the answer to a heartbeat whose commands are committed. */
    HeartbeatResponse answer(const UpstreamReport &report, TimePoint now);

    /** Whether a heartbeat of @p life may show that a range was released. */
    bool isReleasingFrom(const UpstreamIncarnation &life) const;

    /** Number of changes of routingTable(), apart from commits and the passing of time. */
    std::uint64_t changeCount() const;

    /** An upstream says that it ends. @p life may have no start time: then any life of the id. */
    std::vector<RegistryCommand> onLeave(const UpstreamIncarnation &life, TimePoint now);

    /** Takes the load that a gateway has seen. */
    void onGatewayReport(const GatewayReport &report, TimePoint now);

    /** Returns what is due; call it often and after each heartbeat. */
    std::vector<RegistryCommand> dueCommands(TimePoint now);

    /** A command of dueCommands() was committed or will never be. */
    void onCommandEnded(const RegistryCommand &command);

    RoutingTable routingTable(TimePoint now) const;

    /** Share of @p gateway in the requests of all gateways, 0 to 1. */
    double trafficShare(const std::string &gateway) const;
    std::uint32_t gatewayCount(TimePoint now) const;

private:
    struct GatewayLoad
    {
        TimePoint last;
        double requests = 0.0; // per second, smoothed
    };

    RangeContext context(TimePoint now) const;
    RangeSupervisor *supervisor(const std::string &service);
    bool isReplaced(const UpstreamReport &report) const;
    void addRegistration(const UpstreamReport &report, std::vector<RegistryCommand> &commands);
    void addRemovals(TimePoint now, std::vector<RegistryCommand> &commands);
    bool ownsRange(const SiteUpstream &upstream) const;

    const RegistryState &state;
    RegistryTiming timing;
    std::shared_ptr<const SiteConfiguration> configuration;
    UpstreamMonitor monitor;
    HoldLedger ledger;
    std::map<std::string, RangeSupervisor> supervisors; // of keyed services
    std::map<std::string, GatewayLoad> gateways;
    std::set<UpstreamIncarnation> removing;
    std::uint64_t firstGrants = 0; // of a range in this term
};

} // namespace cassiaroad
