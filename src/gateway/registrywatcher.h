#pragma once

#include "gateway/controlhosts.h"
#include "process/eventlog.h"
#include "process/sitesettings.h"
#include "version/sitewatch.h"

#include <functional>

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

    /** @p loop and @p log must outlive the watcher. */
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
    void call();
    void onReply(const GatewayWatchReply &reply);
    void onFailure(const std::string &reason);
    void logFailure(const std::string &reason);
    void followHint(const GroupHint &hint);
    void callAfter(Milliseconds delay);
    void setConnected(bool value);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop;
    EventLog &log;
    Handlers handlers;
    ControlHosts hosts;
    std::string target; // ip of the host that is called
    bool connected = false;
    TimePoint confirmedAt; // at or before the time when the leader made its last update
    TimePoint calledAt; // when the present call was sent
    std::uint64_t receivedBeforeCall = 0; // bytes
    Milliseconds watchTimeout { 400 }; // as announced by the leader
    Milliseconds replyTimeout; // of the present call
    EventLoop::Timer timer;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
