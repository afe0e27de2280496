#pragma once

#include "connection/roundtripestimate.h"
#include "connection/rpcconnection.h"
#include "process/eventlog.h"
#include "process/sitesettings.h"
#include "version/sitewatch.h"

#include <functional>
#include <memory>

namespace cassiaroad {

/**
 * Receives updates from the leader of the control group: repeats a watch call, which waits at the
 * leader until something changes, and finds the next leader through the known members and the
 * seeds. Loop thread only.
 */
class RegistryWatcher : private kj::TaskSet::ErrorHandler
{
public:
    struct Handlers
    {
        std::function<GatewayReport()> report; // returns the report since the previous call
        // Receives an update of the leader, and a time at or before which the leader made it.
        std::function<void(const GatewayUpdate &, TimePoint)> update;
    };

    /** The arguments must outlive the watcher. */
    RegistryWatcher(EventLoop &loop, const SiteSettings &settings, EventLog &log,
                    Handlers handlers);
    ~RegistryWatcher();
    RegistryWatcher(const RegistryWatcher &) = delete;
    RegistryWatcher &operator=(const RegistryWatcher &) = delete;

    /** Starts the first watch call. */
    void start();
    /** Sets the seeds after a change of the settings. */
    void setSeeds(const std::vector<HostAddress> &seeds);

private:
    /** A member or seed that was called. */
    struct Host
    {
        Host(EventLoop &loop, const HostAddress &address, std::shared_ptr<ByteCounters> bytes);

        RpcConnection connection;
        RoundTripEstimate roundTrip; // of its updates; hints do not count
        std::optional<TimePoint> failedAt; // since the last update of any host
        TimePoint connectBegunAt; // by the search for the leader
    };

    void call();
    void onReply(const GatewayWatchReply &reply);
    void onFailure(const std::string &reason);
    void logFailure(const std::string &reason);
    void followHint(const GroupHint &hint);
    void callAfter(Milliseconds delay);
    std::vector<std::string> candidates() const;
    std::string nextTarget();
    void connectToAll(const std::vector<std::string> &ips);
    bool hasFailedRecently(const std::string &ip) const;
    Host &hostAt(const std::string &ip);
    void setConnected(bool value);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop;
    const SiteSettings &settings;
    EventLog &log;
    Handlers handlers;
    std::shared_ptr<ByteCounters> bytes;
    std::vector<std::string> seeds; // ips
    std::vector<std::string> members; // ips
    std::string target; // ip of the member that is called
    std::size_t nextIndex = 0;
    bool connected = false;
    TimePoint confirmedAt; // at or before the time when the leader made its last update
    TimePoint calledAt; // when the present call was sent
    std::uint64_t receivedBeforeCall = 0; // bytes
    Milliseconds watchTimeout { 400 }; // as announced by the leader
    std::map<std::string, std::unique_ptr<Host>> hosts; // by ip
    EventLoop::Timer timer;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
