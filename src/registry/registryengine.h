#pragma once

#include "registry/gatewayupdates.h"
#include "registry/groupmember.h"
#include "registry/leasecaller.h"
#include "version/externalcodec.h"
#include "version/registrymanager.h"

#include <deque>
#include <functional>

namespace cassiaroad {

/** The call was not executed; another member may be the leader. */
struct NotLeading
{
    std::string leaderIp; // empty: unknown

    bool operator==(const NotLeading &) const = default;
};

/** The call may have been executed. */
struct CallOutcomeUnknown
{
    bool operator==(const CallOutcomeUnknown &) const = default;
};

/** The configuration in effect, as an operator put it. */
struct ConfigurationDocument
{
    std::string text;

    bool operator==(const ConfigurationDocument &) const = default;
};

/** The configuration that was put cannot be read or is invalid. */
struct InvalidConfiguration
{
    std::string reason;

    bool operator==(const InvalidConfiguration &) const = default;
};

/** An order names a zone that the site does not have. */
struct UnknownZone
{
    std::string reason;

    bool operator==(const UnknownZone &) const = default;
};

using HeartbeatResult = std::variant<HeartbeatResponse, NotLeading, CallOutcomeUnknown>;
using LeaveResult = std::variant<std::monostate, NotLeading, CallOutcomeUnknown>;
using PutResult = std::variant<PutOutcome, InvalidConfiguration, NotLeading, CallOutcomeUnknown>;
using EvacuationResult = std::variant<std::monostate, UnknownZone, NotLeading, CallOutcomeUnknown>;
using ReadResult = std::variant<ConfigurationDocument, NotLeading>;

/**
 * Runs the replicated state machine of one control host: passes the calls of upstreams, operators
 * and gateways to the RegistryManager, which decides, and proposes its commands to the group. Loop
 * thread only.
 */
class RegistryEngine
{
public:
    /**
     * The arguments must outlive the engine. @p failed is called when the data folder cannot be
     * used.
     */
    RegistryEngine(EventLoop &loop, const SiteSettings &settings, const ExternalCodec &codec,
                   Metrics &metrics, EventLog &log,
                   std::function<void(const std::string &reason)> failed);
    RegistryEngine(const RegistryEngine &) = delete;
    RegistryEngine &operator=(const RegistryEngine &) = delete;

    /** See GroupMember::start(). */
    std::string start();

    /** Handles a heartbeat; @p done is called once, after the commands that it requires. */
    void handleHeartbeat(const UpstreamReport &report,
                         const std::function<void(HeartbeatResult)> &done);
    /** Handles the announcement of an upstream that it shuts down; @p done is called once. */
    void leave(const UpstreamIncarnation &incarnation,
               const std::function<void(LeaveResult)> &done);
    /** Checks a configuration and puts it in effect; @p done is called once. */
    void put(PutConfigurationCall call, const std::function<void(PutResult)> &done);
    /** Starts or ends the evacuation of a zone; @p done is called once, after the commit. */
    void orderEvacuation(const EvacuationChange &order,
                         const std::function<void(EvacuationResult)> &done);
    /** Reads the configuration in effect; @p done is called once. */
    void read(const std::function<void(ReadResult)> &done);

    /**
     * Resolves when the configuration or the routing table differs from those of the gateway, and
     * after the watch timeout at the latest; at once and without changes if the report is a search.
     */
    kj::Promise<GatewayWatchReply> watch(GatewayReport report);
    /** Resolves with what the leader grants; fails on a host that does not lead. */
    kj::Promise<PermitReply> grantPermits(PermitRequest request);
    /**
     * Resolves with what this host knows of the group, and with a slot if this host is the leader
     * and assigns one.
     */
    kj::Promise<GroupHint> join(const JoinRequest &request);

    GroupMember &member() { return this->group; }
    /** Version of the newest configuration that this host knows to be committed; 0: none. */
    ConfigurationVersion configurationVersion() const { return this->state.version(); }

private:
    using CommitHandler = std::function<void(bool committed, PutOutcome outcome)>;

    /** Commands that are proposed together. */
    struct Batch
    {
        std::size_t open = 0; // commands that have neither been committed nor failed
        bool committed = true; // no command has failed
        PutOutcome outcome = PutOutcome::Accepted;
        CommitHandler done;
    };

    /** A call that waits for the confirmation of the leader's lease. */
    struct LeaseWait
    {
        TimePoint since;
        std::function<void()> action;
    };

    /** A command that was proposed and has neither been committed nor failed. */
    struct Proposal
    {
        RegistryCommand command;
        std::shared_ptr<Batch> batch;
        TimePoint proposedAt;
    };

    void restore(const std::optional<Snapshot> &snapshot);
    void apply(const std::string &bytes, std::uint64_t proposal);
    void endProposal(std::uint64_t proposal, bool committed, PutOutcome outcome);
    void checkLeadership();
    void commit(const std::vector<RegistryCommand> &commands, CommitHandler done);
    void commitDueCommands();
    void sendLeaseCalls();
    void onLeaseCallEnded(const LeaseCall &call, const LeaseCallResult &result);
    void readConfiguration();
    bool canAnswer() const { return this->group.isLeader() && this->group.hasLease(); }
    NotLeading notLeading() const { return { this->group.leaderIp() }; }
    void respondToHeartbeat(const UpstreamReport &report,
                            const std::function<void(HeartbeatResult)> &done);
    void whenLeadershipIsCertain(std::function<void()> action);
    kj::Promise<void> certainLeadership();
    bool isLeadershipUncertain() const { return this->group.isLeader() && !this->group.hasLease(); }
    void runLeaseWaits();
    void handleCertainHeartbeat(const UpstreamReport &report,
                                const std::function<void(HeartbeatResult)> &done);
    void handleCertainLeave(const UpstreamIncarnation &incarnation,
                            const std::function<void(LeaveResult)> &done);
    void handleCertainPut(const PutConfigurationCall &call,
                          const std::function<void(PutResult)> &done);
    void handleCertainEvacuation(const EvacuationChange &order,
                                 const std::function<void(EvacuationResult)> &done);
    void updateEvacuatedZones();
    kj::Promise<GatewayWatchReply> handleCertainWatch(GatewayReport report, TimePoint calledAt);
    GatewayWatchReply update(const GatewayReport &report, TimePoint calledAt);
    PermitReply grantCertainPermits(const PermitRequest &request);
    void tick();
    void logWatchLoad();
    void logUpstreams();

    EventLoop &loop;
    const SiteSettings &settings;
    const ExternalCodec &codec;
    EventLog &log;
    prometheus::Counter &heartbeatCount;
    prometheus::Counter &transferCount;
    prometheus::Counter &putCount;
    prometheus::Counter &askedPermits;
    prometheus::Counter &grantedPermits;
    prometheus::Gauge &evacuatedZones;

    RegistryState state;
    RegistryManager manager;
    GatewayUpdates updates;
    ConfigurationVersion decodedVersion = 0; // of the configuration that was passed to the manager
    bool leading = false; // this host is the leader, as of the last checkLeadership()
    Term leadingTerm = 0; // term of that check
    std::uint64_t lastProposal = 0;
    std::map<std::uint64_t, Proposal> proposals;
    std::deque<LeaseWait> leaseWaits; // in order of arrival
    LeaseCaller leaseCaller;
    EventLoop::Timer tickTimer;
    EventLoop::Timer watchLoadTimer;
    GroupMember group; // its handlers use the members above
};

} // namespace cassiaroad
