#pragma once

#include "connection/rpcconnection.h"
#include "process/eventlog.h"
#include "process/sitesettings.h"
#include "version/sitewatch.h"

#include <functional>
#include <memory>

namespace cassiaroad {

/**
 * Follows the leader of the control group: asks it for changes again and again, and finds the next
 * leader through the seeds and the members that are known. Loop thread only.
 */
class RegistryWatcher : private kj::TaskSet::ErrorHandler
{
public:
    struct Handlers
    {
        std::function<GatewayReport()> report; // of what happened since the previous call
        std::function<void(const GatewayUpdate &)> update;
    };

    /** The arguments must outlive the watcher. */
    RegistryWatcher(EventLoop &loop, const SiteSettings &settings, EventLog &log,
                    Handlers handlers);
    ~RegistryWatcher();
    RegistryWatcher(const RegistryWatcher &) = delete;
    RegistryWatcher &operator=(const RegistryWatcher &) = delete;

    void start();
    void setSeeds(const std::vector<HostAddress> &seeds);

private:
    void call();
    void onAnswer(const GatewayWatchReply &answer);
    void onFailure();
    void follow(const GroupHint &hint);
    void callAfter(Milliseconds delay);
    std::string nextTarget();
    bool hasFailedLately(const std::string &ip) const;
    RpcConnection &connectionTo(const std::string &ip);
    void setConnected(bool value);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop;
    const SiteSettings &settings;
    EventLog &log;
    Handlers handlers;
    std::shared_ptr<ByteCounters> bytes;
    std::vector<std::string> seeds;
    std::vector<std::string> members;
    std::string target;
    std::size_t nextIndex = 0;
    std::map<std::string, TimePoint> failedAt; // by ip
    bool connected = false;
    Milliseconds hold { 400 }; // as the leader told
    std::map<std::string, std::unique_ptr<RpcConnection>> connections; // by ip
    EventLoop::Timer timer;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
