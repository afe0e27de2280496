#pragma once

#include "version/coldpermits.h"
#include "version/leasecalls.h"
#include "version/rangesupervisor.h"
#include "version/recoverypace.h"
#include "version/sitewatch.h"
#include "version/upstreamclaims.h"

#include <memory>
#include <set>

namespace cassiaroad {

/** Durations of a registry; from the settings. */
struct RegistryTiming
{
    LeaseTiming leases;
    RangeTiming ranges;
    /** How long an upstream without ranges stays registered after its heartbeats have stopped. */
    Milliseconds registrationTimeout { 30000 };
    /**
     * How long a gateway is counted after its last report: until it uses no part any more of what
     * the gateways share, and what it has used has left the window of the retry budget.
     */
    Milliseconds gatewayTimeout { 16400 };
    ColdBounds cold;

    bool operator==(const RegistryTiming &) const = default;
};

/** Result of the check of a heartbeat. */
enum class ReportStatus {
    Accepted,
    Outdated, // of a stopped incarnation, or older than an earlier arrival: it changes nothing
    Contested, // its id belongs to another incarnation that may be up: it gets no leases
};

/** Result of a heartbeat, and the commands that it causes. */
struct ReportResult
{
    ReportStatus status = ReportStatus::Accepted;
    std::vector<RegistryCommand> commands; // to be committed before the response is sent
};

/**
 * Decisions of the leader of a control group whose upstreams own key ranges. Reads the replicated
 * state and returns the commands that change it. Pure; not thread-safe.
 */
class RegistryManager
{
public:
    /** @p state must outlive the manager. */
    RegistryManager(const RegistryState &state, RegistryTiming timing);

    /** Starts a term as leader. Precondition: the member has applied all earlier commands. */
    void startTerm(TimePoint now);

    /** Sets the region of each zone, for the home regions of configurations set later. */
    void setRegions(std::map<std::string, std::string> zones) { this->regions = std::move(zones); }

    /** Sets the configuration in force, which names the services. */
    void setConfiguration(std::shared_ptr<const SiteConfiguration> configuration);

    /** Handles a heartbeat; see respond() for the response. */
    ReportResult onHeartbeat(const UpstreamReport &report, TimePoint now);

    /**
     * Returns the response to a heartbeat. Precondition: its commands are committed. It contains
     * no leases if the service receives them by calls; see dueLeaseCalls().
     */
    HeartbeatResponse respond(const UpstreamReport &report, TimePoint now);

    /**
     * Returns the calls that deliver leases and are to be sent at @p now. Call it often, and after
     * each heartbeat, commit and onLeaseCallEnded(). Precondition: the leader's lease is valid.
     */
    std::vector<LeaseCall> dueLeaseCalls(TimePoint now);

    /** Handles the end of a call of dueLeaseCalls(). Returns nothing for one of an earlier term. */
    std::optional<EndedLeaseCall> onLeaseCallEnded(std::uint64_t number,
                                                   const LeaseCallResult &result, TimePoint now);

    /** Whether a heartbeat of @p incarnation may confirm the release of a range. */
    bool isReleasingFrom(const UpstreamIncarnation &incarnation) const;

    /** Number of changes of routingTable() that neither a commit nor the passing of time caused. */
    std::uint64_t changeCount() const;

    /**
     * Handles the announcement of an upstream that it shuts down, and returns the commands for
     * that. If @p incarnation has no start time, it means any incarnation of the id.
     */
    std::vector<RegistryCommand> onLeave(const UpstreamIncarnation &incarnation, TimePoint now);

    /**
     * Adds the load and the broken attempts that a gateway has reported. Returns the commands for
     * the upstreams that it has seen leaving.
     */
    std::vector<RegistryCommand> onGatewayReport(const GatewayReport &report, TimePoint now);

    /** Grants permits for requests to cold upstreams. Precondition: the leader's lease is valid. */
    PermitReply grantPermits(const PermitRequest &request, TimePoint now);

    /** Returns the requests under which upstreams may have crashed; see CrashLedger::suspects(). */
    std::vector<SuspectRequest> suspects(TimePoint now);

    /** Returns the commands that are due at @p now; call it often and after each heartbeat. */
    std::vector<RegistryCommand> dueCommands(TimePoint now);

    /** Handles the end of a command of dueCommands(): it was committed, or never will be. */
    void onCommandEnded(const RegistryCommand &command);

    /** What the leader knows of the registered upstreams. */
    struct UpstreamCounts
    {
        std::int64_t registered = 0;
        std::int64_t unheard = 0; // no heartbeat has arrived in this term
        std::int64_t warming = 0; // have reported that they still warm up
    };
    UpstreamCounts upstreamCounts(TimePoint now) const;

    /** Returns the routing table for gateways. */
    RoutingTable routingTable(TimePoint now) const;

    /**
     * Share of the upstream capacity that @p gateway may use, 0 to 1. Half of the total is divided
     * equally, half in proportion to the requests of each gateway. Gateways that are not counted by
     * gatewayCount() have no part.
     */
    double trafficShare(const std::string &gateway, TimePoint now) const;
    /**
     * Number of gateways that may use a part of what gateways share, at least 1. At the start of a
     * term it is at least the number that an earlier leader has told a gateway.
     */
    std::uint32_t gatewayCount(TimePoint now) const;
    /**
     * Returns the place of @p gateway among the gateways. Nothing while a new leader does not know
     * all of them yet: the ranks of a part would move the subsets of all.
     */
    std::optional<GatewayPlacement> placement(const std::string &gateway, TimePoint now);

private:
    struct GatewayLoad
    {
        std::string zone;
        TimePoint lastReportAt;
        double requests = 0.0; // per second, smoothed
    };

    struct LeaseCallVisitor;

    RangeContext context(TimePoint now) const;
    std::optional<std::set<std::string>> homeZonesOf(const std::string &service) const;
    LeaseCalls *leaseCalls(const std::string &service);
    LeaseDelivery deliveryOf(const std::string &service) const;
    std::vector<LeaseCall> leaseCallsTo(const UpstreamIncarnation &incarnation,
                                        RangeSupervisor &keyed, LeaseCalls &calls, TimePoint now);
    RangeSupervisor *supervisor(const std::string &service);
    KnownUpstreams known(TimePoint now) const;
    ReportStatus recordReport(const UpstreamReport &report, UpstreamClaim claim, TimePoint now);
    std::vector<RegistryCommand> registrationOf(const UpstreamReport &report, ClaimKind kind,
                                                TimePoint now);
    std::vector<RegistryCommand> drainCommands(const UpstreamReport &report, TimePoint now);
    std::vector<RegistryCommand> phaseCommands(const UpstreamReport &report, TimePoint now);
    void wakeLeaseCalls(const std::string &zone);
    void suspendLeaseCalls(const UpstreamReport &report);
    void forgetOthers(TimePoint now);
    std::vector<RecoveryCandidate> recoveryCandidates(TimePoint now) const;
    void addRemovals(TimePoint now, std::vector<RegistryCommand> &commands);
    void eraseOwners(std::set<UpstreamIncarnation> &incarnations) const;
    bool isCounted(const GatewayLoad &load, TimePoint now) const;
    void updatePlacements(TimePoint now);
    std::vector<RegistryCommand> leaveCommands(const std::vector<UpstreamIncarnation> &seen,
                                               TimePoint now);

    const RegistryState &state;
    RegistryTiming timing;
    std::map<std::string, std::string> regions; // by zone
    std::shared_ptr<const SiteConfiguration> configuration;
    UpstreamMonitor monitor;
    RangeLeaseTable rangeLeases;
    std::map<std::string, RangeSupervisor> supervisors; // of keyed services
    std::map<std::string, LeaseCalls> callers; // of keyed services that receive leases by calls
    std::uint64_t nextLeaseCall = 1; // number
    std::map<std::string, GatewayLoad> gateways;
    GatewayPlacements placements; // of the gateways
    TimePoint placementsAt; // when they were set
    std::uint32_t earlierGateways = 0; // highest number that a gateway had of an earlier leader
    TimePoint termStart;
    CrashLedger crashes;
    std::set<UpstreamIncarnation> removing; // their removal is proposed and not committed yet
    std::set<UpstreamIncarnation> leaving; // as above, that they leave; reported by gateways
    ColdPermits permits;
    RecoveryPace recoveries;
    TimePoint removalsCheckedAt; // when addRemovals() was last done
    TimePoint forgottenAt; // when forgetOthers() was last done
    std::uint64_t firstLeases = 0; // responses with a lease that was the first on its range
};

} // namespace cassiaroad
