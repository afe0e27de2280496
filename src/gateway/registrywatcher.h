#pragma once

#include "connection/roundtripestimate.h"
#include "connection/rpcconnection.h"
#include "gateway/leadersearch.h"
#include "process/eventlog.h"
#include "process/sitesettings.h"
#include "version/permitcall.h"
#include "version/searchreport.h"
#include "version/sitewatch.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace cassiaroad {

/**
 * Receives updates from the leader of the control group: repeats a watch call, which waits at the
 * leader until something changes. When an update is late, it searches for the leader (see
 * LeaderSearch) while the call continues, and goes on with the first host that answers as the
 * leader. Loop thread only.
 */
class RegistryWatcher : private kj::TaskSet::ErrorHandler
{
public:
    struct Handlers
    {
        std::function<GatewayReport()> report; // returns the report since the previous call
        // Receives an update of the leader, and a time at or before which the leader made it.
        std::function<void(const GatewayUpdate &, TimePoint)> update;
        // As update, in reply to an earlier report than the last one. If empty, update is called.
        std::function<void(const GatewayUpdate &, TimePoint)> lateUpdate = nullptr;
    };

    /** @p loop, @p settings and @p log must outlive the watcher. */
    RegistryWatcher(EventLoop &loop, const SiteSettings &settings, EventLog &log,
                    Handlers handlers);
    ~RegistryWatcher();
    RegistryWatcher(const RegistryWatcher &) = delete;
    RegistryWatcher &operator=(const RegistryWatcher &) = delete;

    /** Starts the search for the leader. */
    void start();
    /**
     * Sends the leader a report at once, beside the call that waits for its reply. Does nothing if
     * the next call is due soon, or several wait already, or the leader is not known.
     */
    void reportSoon();
    /**
     * Asks the leader for permits; @p done is called once, unless the watcher is destroyed before,
     * without a reply if there is none. Returns false, and does not call it, if no leader is known.
     */
    bool askPermits(const PermitRequest &request,
                    const std::function<void(const std::optional<PermitReply> &)> &done);
    /** Sets the seeds after a change of the settings. */
    void setSeeds(const std::vector<HostAddress> &seeds);

private:
    /** A control host and a connection to it. */
    struct Peer
    {
        std::string ip;
        std::shared_ptr<RpcConnection> connection;
    };

    /** A watch call without a reply yet. */
    struct Call
    {
        std::uint64_t number = 0;
        Peer peer;
        TimePoint sentAt;
        std::uint64_t receivedBefore = 0; // bytes
        ConfigurationVersion version = 0; // of the gateway's report
    };

    void callLeader();
    void onReply(std::uint64_t number, const GatewayWatchReply &reply);
    void onUpdate(const Call &call, const GatewayUpdate &update);
    void onFailure(std::uint64_t number, const std::string &reason);
    void loseLeader();
    void logFailure(const Call &call, const std::string &reason);

    void scheduleSearch();
    void stepSearch();
    void ask(const LeaderSearch::Question &question);
    void onAnswer(LeaderSearch::ConnectionNumber number, const GatewayWatchReply &reply);
    void onNoAnswer(LeaderSearch::ConnectionNumber number, const std::string &reason);
    void logSearch();
    void logConfirmation(const Call &call, const GatewayUpdate &update, TimePoint madeAt);
    void followLeader(const Peer &peer);
    void endSearch();

    template <typename OnReply, typename OnFailure>
    void send(RpcConnection &connection, RpcConnection::Timeouts timeouts,
              const GatewayReport &report, std::function<void()> onSent, OnReply onReply,
              OnFailure onFailure);
    std::optional<Call> takeCall(std::uint64_t number);
    const Call *presentCall() const;
    void setConnected(bool value);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop;
    const SiteSettings &settings;
    EventLog &log;
    Handlers handlers;
    std::shared_ptr<ByteCounters> bytes; // on all connections
    LeaderSearch search;
    bool isReporting = false; // `report` is that of the present search
    SearchReport report;
    std::map<LeaderSearch::ConnectionNumber, Peer> asked; // by the present search
    Peer leader; // without a connection if the leader is lost
    RoundTripEstimate roundTrip; // of the leader's updates
    std::deque<Call> calls; // without a reply, the oldest first
    std::uint64_t lastCall = 0; // number
    ConfigurationVersion confirmedVersion = 0; // of the last configuration_confirmed line
    std::string confirmedBy; // ip in that line
    bool connected = false;
    TimePoint confirmedAt; // at or before the time when the leader made its last update
    Milliseconds watchTimeout { 400 }; // as announced by the leader
    EventLoop::Timer callTimer;
    EventLoop::Timer searchTimer;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
