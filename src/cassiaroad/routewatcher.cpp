#include "cassiaroad/routewatcher.h"

#include "connection/rpccodec.h"
#include "process/log.h"

namespace cassiaroad {

namespace {

constexpr Milliseconds retryDelay { 50 };
// After the session is ended, moves need not wait for this host's lease to expire. The process does
// not wait longer than this for the reply.
constexpr Milliseconds endTimeout { 500 };

} // namespace

/**
 * One watch call with its report. The request is sent to one member after the other until one
 * replies; the lease counts from the last time that it was sent.
 */
struct RouteWatcher::Attempt
{
    WatchReport report;
    TimePoint sentAt;
};

RouteWatcher::RouteWatcher(EventLoop &loop, ControlClient &control, EntryHostId host,
                           std::string zone, Milliseconds callTimeout, Callbacks callbacks)
    : loop(loop)
    , control(control)
    , host(std::move(host))
    , zone(std::move(zone))
    , callTimeout(callTimeout)
    , callbacks(std::move(callbacks))
    , tasks(*this)
{ }

RouteWatcher::~RouteWatcher() = default;

void RouteWatcher::taskFailed(kj::Exception &&exception)
{
    Log("route").error(std::string("unexpected error in a watch call: ")
                       + exception.getDescription().cStr());
}

void RouteWatcher::start()
{
    this->call();
}

void RouteWatcher::call()
{
    const auto attempt = std::make_shared<Attempt>();
    attempt->report = this->callbacks.report();
    const auto fill = [this, attempt](rpc::WatchRequest::Builder request) {
        attempt->sentAt = this->loop.now();
        this->fill(request, attempt->report);
    };
    this->tasks.add(this->control.watch(fill, this->callTimeout)
                            .then(
                                    [this, attempt](ControlClient::WatchReply &&reply) {
                                        if (!this->stopping) {
                                            this->onReply(reply.getReply(), attempt->sentAt);
                                            this->call();
                                        }
                                    },
                                    [this, attempt](kj::Exception &&) {
                                        this->callbacks.reportFailed(attempt->report);
                                        if (!this->stopping) {
                                            this->retryTimer = this->loop.callAfter(
                                                    retryDelay, [this] { this->call(); });
                                        }
                                    }));
}

void RouteWatcher::fill(rpc::WatchRequest::Builder request, const WatchReport &report) const
{
    request.setEntryHost(this->host.name);
    request.setZone(this->zone);
    request.setInstance(this->host.instance);
    request.setSeenRevision(this->routes.seenRevision());
    request.setDrainedRevision(report.drainedRevision);
    request.setStopping(this->stopping);
    auto health = request.initHealth(static_cast<unsigned>(report.health.size()));
    for (unsigned i = 0; i < health.size(); ++i) {
        const WatchReport::Health &entry = report.health[i];
        health[i].setService(entry.upstream.service);
        health[i].setName(entry.upstream.name);
        health[i].setRequests(entry.requests);
        health[i].setFailures(entry.failures);
        health[i].setShed(entry.shed);
    }
    auto shards = request.initShardLoad(static_cast<unsigned>(report.shardLoad.size()));
    for (unsigned i = 0; i < shards.size(); ++i) {
        shards[i].setService(report.shardLoad[i].first.service);
        shards[i].setShard(report.shardLoad[i].first.shard);
        shards[i].setRequests(report.shardLoad[i].second);
    }
    auto keys = request.initKeyLoad(static_cast<unsigned>(report.keyLoad.size()));
    for (unsigned i = 0; i < keys.size(); ++i) {
        keys[i].setService(report.keyLoad[i].first.service);
        keys[i].setKey(report.keyLoad[i].first.key);
        keys[i].setRequests(report.keyLoad[i].second);
    }
}

void RouteWatcher::onReply(rpc::WatchReply::Reader reply, TimePoint sentAt)
{
    if (!reply.isUpdate()) {
        return;
    }
    const auto update = reply.getUpdate();
    const bool hadLease = this->routes.hasLease(this->loop.now());
    const std::uint32_t hosts = std::max<std::uint32_t>(1, update.getEntryHosts());
    const bool hostsChanged = hosts != this->entryHosts;
    const RouteTableCache::Result result
            = this->routes.apply(decode(update.getDelta()), sentAt, { update.getLeaseMs() });
    if (result == RouteTableCache::Result::Refused) {
        Log("route").warning("ignores a watch reply that is older than the route table or not "
                             "compatible with it");
        return;
    }
    this->entryHosts = hosts;
    if (result == RouteTableCache::Result::Changed || hostsChanged) {
        this->callbacks.tableChanged(hosts);
    } else if (!hadLease && this->routes.hasLease(this->loop.now())) {
        this->callbacks.leaseRegained();
    }
}

void RouteWatcher::endSession(std::function<void()> done)
{
    this->stopping = true;
    this->retryTimer = {};
    this->sessionEnded = std::move(done);
    const auto fill
            = [this](rpc::WatchRequest::Builder request) { this->fill(request, WatchReport()); };
    this->tasks.add(this->control.watch(fill, endTimeout)
                            .then([this](ControlClient::WatchReply &&) { this->sessionEnded(); },
                                  [this](kj::Exception &&) { this->sessionEnded(); }));
}

} // namespace cassiaroad
