#pragma once

#include "connection/controlclient.h"
#include "request/routetablecache.h"
#include "version/requestledger.h"

#include <functional>
#include <vector>

namespace cassiaroad {

/** Report that an entry host sends with each watch call. Counts start anew with each report. */
struct WatchReport
{
    /** Requests to an upstream, and failed connections and probes. */
    struct Health
    {
        UpstreamId upstream;
        std::uint32_t requests = 0;
        std::uint32_t failures = 0;
        std::uint32_t shed = 0; // refused by the upstream under load
    };

    Revision drainedRevision = 0;
    std::vector<Health> health;
    std::vector<std::pair<ShardRef, std::uint32_t>> shardLoad;
    std::vector<std::pair<KeyRef, std::uint32_t>> keyLoad;
};

/**
 * Keeps the route table and the lease of an entry host up to date with one pending watch call to
 * the control group. A failed call is repeated after a short delay. Loop thread only.
 */
class RouteWatcher : private kj::TaskSet::ErrorHandler
{
public:
    /** Called on the loop thread. */
    struct Callbacks
    {
        std::function<WatchReport()> report; // called once before each call
        std::function<void(const WatchReport &)> reportFailed; // the report may be lost
        // The route table or the number of entry hosts has changed.
        std::function<void(std::uint32_t entryHosts)> tableChanged;
        std::function<void()> leaseRegained; // with an unchanged table
    };

    /** All references must outlive the watcher. */
    RouteWatcher(EventLoop &loop, ControlClient &control, EntryHostId host, std::string zone,
                 Milliseconds callTimeout, Callbacks callbacks);
    ~RouteWatcher();
    RouteWatcher(const RouteWatcher &) = delete;
    RouteWatcher &operator=(const RouteWatcher &) = delete;

    /** Starts the calls. Precondition: not started. */
    void start();

    /**
     * Ends the session with the control group, which takes back the lease. @p done is called when
     * it has ended, or could not be ended within a fixed time.
     */
    void endSession(std::function<void()> done);

    /** Route table and lease; the reference stays valid as long as the watcher. */
    const RouteTableCache &cache() const { return this->routes; }

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
    std::uint32_t entryHosts = 1; // of the last update; at least 1
    bool stopping = false;
    std::function<void()> sessionEnded;
    EventLoop::Timer retryTimer;
    kj::TaskSet tasks;
};

} // namespace cassiaroad
