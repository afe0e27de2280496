#pragma once

#include "connection/controlclient.h"
#include "request/routetablecache.h"
#include "version/requestledger.h"

#include <functional>
#include <vector>

namespace cassiaroad {

/** What an entry host reports with each watch call. */
struct WatchReport
{
    struct Health
    {
        UpstreamId upstream;
        std::uint32_t requests = 0;
        std::uint32_t failures = 0;
        std::uint32_t shed = 0;
    };

    Revision drainedRevision = 0;
    std::vector<Health> health;
    std::vector<std::pair<ShardRef, std::uint32_t>> shardLoad;
    std::vector<std::pair<KeyRef, std::uint32_t>> keyLoad;
};

/**
 * Keeps the route table and the lease of an entry host up to date by calling the control group over
 * and over. Loop thread only.
 */
class RouteWatcher : private kj::TaskSet::ErrorHandler
{
public:
    struct Callbacks
    {
        std::function<WatchReport()> report; // called once for each call
        std::function<void(const WatchReport &)> notReported; // the call failed
        std::function<void(std::uint32_t entryHosts)> tableChanged;
        std::function<void()> leaseRegained;
    };

    /** All references must outlive the watcher. */
    RouteWatcher(EventLoop &loop, ControlClient &control, EntryHostId host, std::string zone,
                 Milliseconds callTimeout, Callbacks callbacks);
    ~RouteWatcher();
    RouteWatcher(const RouteWatcher &) = delete;
    RouteWatcher &operator=(const RouteWatcher &) = delete;

    /** Starts the calls. Precondition: not started. */
    void start();

    /** Ends the session with the control group; @p done is called once it has, or cannot, end. */
    void endSession(std::function<void()> done);

    const RouteTableCache &follower() const { return this->routes; }

private:
    struct Attempt;

    void taskFailed(kj::Exception &&exception) override;
    void call();
    void fill(rpc::WatchRequest::Builder request, const WatchReport &report) const;
    void onReply(rpc::WatchReply::Reader reply, TimePoint sentAt);

    EventLoop &loop;
    ControlClient &control;
    EntryHostId host;
    std::string zone;
    Milliseconds callTimeout;
    Callbacks callbacks;
    RouteTableCache routes;
    std::uint32_t entryHosts = 1;
    bool stopping = false;
    std::function<void()> ended;
    EventLoop::Timer retryTimer;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
