#include "version/entrysupervisor.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// Watch timeout of an entry host that still has requests in flight on releasing shards, so that it
// reports again after this time.
constexpr Milliseconds drainingWatchTimeout { 20 };

} // namespace

EntrySupervisor::EntrySupervisor(LeaderContext &leaderContext)
    : context(leaderContext)
{ }

void EntrySupervisor::onWatchRequested(const WatchRequested &event)
{
    const auto earlier = this->waitingWatches.find(event.host);
    if (earlier != this->waitingWatches.end()) {
        const WaitingWatch watch = earlier->second;
        this->waitingWatches.erase(earlier);
        this->reply(event.host, watch);
    }
    this->recordReports(event);
    if (event.stopping) {
        this->context.leases.removeEntry(event.host);
        this->context.actions.emplace_back(ReplyWatch { event.call, {}, { 0 }, 0 });
        return;
    }
    this->context.leases.recordEntryReport(event, this->context.now);
    const WaitingWatch watch { event.call, event.seenRevision, this->context.now };
    if (event.seenRevision == 0 || this->isDue(event.host, watch)) {
        this->reply(event.host, watch);
    } else {
        this->waitingWatches.emplace(event.host, watch);
    }
}

void EntrySupervisor::recordReports(const WatchRequested &event)
{
    for (const UpstreamHealth &health : event.health) {
        if (this->context.state.routing().upstream(health.upstream) != nullptr) {
            this->context.health.report(event.host, health, this->context.now);
        }
    }
    for (const ShardRequests &load : event.shardLoad) {
        const ServiceShards *service = this->context.service(load.shard.service);
        if (service != nullptr && load.shard.shard < service->shards) {
            this->context.loads.addShard(load.shard, load.requests);
        }
    }
    for (const KeyRequests &load : event.keyLoad) {
        this->context.loads.addKey(load.key, load.requests);
    }
}

bool EntrySupervisor::isDue(const EntryHostId &host, const WaitingWatch &watch) const
{
    if (this->context.state.revision() > watch.seenRevision) {
        return true;
    }
    const auto lease = this->context.leases.all().find(host);
    const bool draining = lease != this->context.leases.all().end()
                          && lease->second.drainedRevision < watch.seenRevision
                          && !this->context.state.routing().releasing().empty();
    const Milliseconds timeout
            = draining ? std::min(drainingWatchTimeout, this->context.config.watchTimeout)
                       : this->context.config.watchTimeout;
    return this->context.now - watch.since >= timeout;
}

void EntrySupervisor::reply(const EntryHostId &host, const WaitingWatch &watch)
{
    this->context.leases.renewEntry(host, this->context.now);
    const auto hosts = this->context.leases.liveEntries(this->context.now).size();
    this->context.actions.emplace_back(
            ReplyWatch { watch.call, this->context.state.deltaSince(watch.seenRevision),
                         this->context.config.entryLease, static_cast<std::uint32_t>(hosts) });
}

void EntrySupervisor::step()
{
    for (auto it = this->waitingWatches.begin(); it != this->waitingWatches.end();) {
        if (this->isDue(it->first, it->second)) {
            this->reply(it->first, it->second);
            it = this->waitingWatches.erase(it);
        } else {
            ++it;
        }
    }
    this->abandonLostRequests();
    this->context.leases.prune(this->context.now);
}

void EntrySupervisor::abandonLostRequests()
{
    if (!this->context.leases.hasTakeoverDelayPassed(this->context.now)) {
        return;
    }
    for (const auto &[host, count] : this->context.state.ledger().hostsInFlight()) {
        if (!this->context.leases.isEntryLive(host, this->context.now)
            && !this->context.proposals.isInFlight(host)) {
            this->context.propose(LedgerAbandon { host }, { host });
        }
    }
}

std::vector<CallId> EntrySupervisor::waitingCalls() const
{
    std::vector<CallId> calls;
    for (const auto &[host, watch] : this->waitingWatches) {
        calls.push_back(watch.call);
    }
    return calls;
}

} // namespace cassiaroad
