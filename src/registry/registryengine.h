#pragma once

#include "registry/groupmember.h"
#include "version/configurationhistory.h"
#include "version/externalcodec.h"
#include "version/registrymanager.h"
#include "version/routingchange.h"
#include "version/routingtablehistory.h"

#include <functional>
#include <list>

namespace cassiaroad {

/** The call was not executed: another member may lead. */
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

struct Document
{
    std::string text;

    bool operator==(const Document &) const = default;
};

struct InvalidDocument
{
    std::string reason;

    bool operator==(const InvalidDocument &) const = default;
};

using GrantResult = std::variant<HeartbeatResponse, NotLeading, CallOutcomeUnknown>;
using LeaveResult = std::variant<std::monostate, NotLeading, CallOutcomeUnknown>;
using PutResult = std::variant<PutOutcome, InvalidDocument, NotLeading, CallOutcomeUnknown>;
using ReadResult = std::variant<Document, NotLeading>;

/**
 * State machine and decisions of one control host: carries the calls of upstreams, operators and
 * gateways to the RegistryManager and its commands to the group. Loop thread only.
 */
class RegistryEngine
{
public:
    /** The arguments must outlive the engine. @p failed is called when the data folder is unusable.
     */
    RegistryEngine(EventLoop &loop, const SiteSettings &settings, const ExternalCodec &codec,
                   Metrics &metrics, EventLog &log,
                   std::function<void(const std::string &reason)> failed);
    RegistryEngine(const RegistryEngine &) = delete;
    RegistryEngine &operator=(const RegistryEngine &) = delete;

    /** See GroupMember::start(). */
    std::string start();

    void report(const UpstreamReport &report, const std::function<void(GrantResult)> &done);
    void leave(const UpstreamIncarnation &life, std::function<void(LeaveResult)> done);
    void put(const PutConfigurationCall &call, std::function<void(PutResult)> done);
    ReadResult read() const;

    /** Resolves when something has changed for the gateway, or after a while. */
    kj::Promise<GatewayWatchReply> watch(GatewayReport report);
    /** Resolves with what this host knows of the group, and with a slot if the leader gives one. */
    kj::Promise<GroupHint> join(const JoinRequest &request);

    GroupMember &member() { return this->group; }

private:
    using Committed = std::function<void(bool committed, PutOutcome outcome)>;

    /** Commands that are proposed together. */
    struct Batch
    {
        std::size_t open = 0;
        bool committed = true;
        PutOutcome outcome = PutOutcome::Accepted;
        Committed done;
    };

    struct Proposal
    {
        RegistryCommand command;
        std::shared_ptr<Batch> batch;
    };

    void restore(const std::optional<Snapshot> &snapshot);
    void apply(const std::string &bytes, std::uint64_t proposal);
    void endProposal(std::uint64_t proposal, bool committed, PutOutcome outcome);
    void checkLeadership();
    void commit(const std::vector<RegistryCommand> &commands, Committed done);
    void commitDue();
    void readConfiguration();
    bool canAnswer() const { return this->group.leads() && this->group.hasLease(); }
    NotLeading notLeading() const { return { this->group.leaderIp() }; }
    void answerReport(const UpstreamReport &report, const std::function<void(GrantResult)> &done);
    Milliseconds watchTimeout() const;
    void tellGateways();
    void wakeGateways();
    bool isCurrent(const GatewayReport &report) const;
    GatewayWatchReply update(const GatewayReport &report);
    void logCommand(const RegistryCommand &command, PutOutcome outcome) const;
    void tick();

    EventLoop &loop;
    const SiteSettings &settings;
    const ExternalCodec &codec;
    EventLog &log;
    prometheus::Counter &reportCount;
    prometheus::Counter &transferCount;
    prometheus::Counter &putCount;

    RegistryState state;
    RegistryManager manager;
    ConfigurationVersion decodedVersion = 0; // of the configuration that the manager has
    bool leading = false;
    Term leadingTerm = 0;
    std::uint64_t lastProposal = 0;
    std::map<std::uint64_t, Proposal> proposals;
    RoutingTableHistory feed;
    ConfigurationHistory documents;
    ConfigurationVersion toldVersion = 0; // when the gateways were last told
    TimePoint toldAt;
    bool tellDue = false; // the table may have changed since
    std::list<kj::Own<kj::PromiseFulfiller<void>>> waiting; // watch calls
    EventLoop::Timer tickTimer;
    GroupMember group; // its handlers use the members above
};

} // namespace cassiaroad
