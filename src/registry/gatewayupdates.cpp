#include "registry/gatewayupdates.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

// Interval at which the routing table is checked for changes that occur with time alone: upstreams
// that become silent or have warmed up.
constexpr Milliseconds refreshInterval { 200 };
// The watch timeout grows with the number of gateways, since otherwise the calls of many gateways
// would take much of the leader's processor time.
constexpr Milliseconds minWatchTimeout { 400 };
constexpr Milliseconds watchTimeoutPerGateway { 8 };
// Shortest interval between two routing tables.
constexpr Milliseconds minTableInterval { 30 };
// Shortest interval between two notifications, for each gateway of the site. Notifying one takes a
// slow leader a good part of a millisecond. Gateways whose calls do not wait count too: a busy
// leader has none that wait.
constexpr Milliseconds notifyIntervalPerGateway { 3 };

} // namespace

GatewayUpdates::GatewayUpdates(EventLoop &loop, const RegistryState &state,
                               RegistryManager &manager)
    : loop(loop)
    , state(state)
    , manager(manager)
{ }

void GatewayUpdates::restore()
{
    this->configurationHistory = ConfigurationHistory();
    if (this->state.version() != 0) {
        this->recordConfiguration();
    }
}

void GatewayUpdates::recordConfiguration()
{
    this->configurationHistory.add(this->state.version(), this->state.document());
}

void GatewayUpdates::recordCommand()
{
    if (!this->tableOutdatedAt) {
        this->tableOutdatedAt = this->loop.now();
    }
}

// Calls that have waited are answered next, so the first table is built at once.
void GatewayUpdates::startTerm(Term term)
{
    this->tableHistory.startTerm(term);
    this->updateTable();
    this->tableBuiltAt = {};
    this->notifiedAt = {};
}

void GatewayUpdates::notify()
{
    const TimePoint now = this->loop.now();
    const auto gateways = static_cast<std::int64_t>(this->manager.gatewayCount(now));
    this->notifyDue = now - this->tableBuiltAt < minTableInterval
                      || now - this->notifiedAt < notifyIntervalPerGateway * gateways;
    if (this->notifyDue) {
        return;
    }
    this->tableBuiltAt = now;
    const bool isOtherTable = this->updateTable();
    const bool hasOtherSuspects = this->updateSuspects();
    const std::uint64_t members = this->state.orderedMembers().revision;
    const bool hasOtherMembers = std::exchange(this->notifiedMembers, members) != members;
    if (isOtherTable || hasOtherSuspects || hasOtherMembers
        || this->notifiedVersion != this->state.version()) {
        this->notifiedVersion = this->state.version();
        this->notifiedAt = now;
        this->resumeAll();
    }
}

void GatewayUpdates::resumeDue()
{
    this->waitingCalls.remove_if([](auto &waiter) { return !waiter->isWaiting(); });
    if (this->notifyDue || this->loop.now() - this->tableBuiltAt >= refreshInterval) {
        this->notify();
    }
}

void GatewayUpdates::resumeAll()
{
    for (kj::Own<kj::PromiseFulfiller<void>> &waiter : std::exchange(this->waitingCalls, {})) {
        waiter->fulfill();
    }
}

kj::Promise<void> GatewayUpdates::wait()
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    this->waitingCalls.push_back(kj::mv(paf.fulfiller));
    return kj::mv(paf.promise);
}

// Whether the gateway has the present list of members, or takes none.
bool GatewayUpdates::hasMembers(const GatewayReport &report) const
{
    return !report.membersRevision
           || *report.membersRevision == this->state.orderedMembers().revision;
}

bool GatewayUpdates::isCurrent(const GatewayReport &report) const
{
    return report.tableTag == this->tableHistory.tag() && report.version >= this->state.version()
           && report.suspectsTag == this->suspectsTag && this->hasMembers(report);
}

Milliseconds GatewayUpdates::watchTimeout() const
{
    const auto gateways = static_cast<std::int64_t>(this->manager.gatewayCount(this->loop.now()));
    return std::clamp(watchTimeoutPerGateway * gateways, minWatchTimeout, maxWatchTimeout);
}

GatewayUpdate GatewayUpdates::updateFor(const GatewayReport &report, TimePoint calledAt)
{
    const TimePoint now = this->loop.now();
    GatewayUpdate update;
    update.tableTag = this->tableHistory.tag();
    if (report.tableTag != update.tableTag) {
        update.fromTag = this->tableHistory.baseOf(report.tableTag);
        update.change = this->tableHistory.changeFrom(update.fromTag);
    }
    this->configurationHistory.fill(update, report.version);
    update.suspectsTag = this->suspectsTag;
    if (report.suspectsTag != this->suspectsTag) {
        update.suspects = this->suspects;
    }
    if (!this->hasMembers(report)) {
        update.members = this->state.orderedMembers();
    }
    update.trafficShare = this->manager.trafficShare(report.gateway, now);
    update.gateways = this->manager.gatewayCount(now);
    const std::optional<GatewayPlacement> placement = this->manager.placement(report.gateway, now);
    if (placement && tagOf(placement) != report.placementTag) {
        update.placement = placement;
    }
    update.watchTimeout = this->watchTimeout();
    update.waited = now - calledAt;
    update.tableAge = this->tableOutdatedAt ? now - *this->tableOutdatedAt : Milliseconds {};
    this->watchLoad.countReply(update);
    return update;
}

// Builds the routing table; returns whether it differs from the previous one.
bool GatewayUpdates::updateTable()
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::RoutingTable);
    this->watchLoad.countTable();
    this->tableOutdatedAt.reset();
    return this->tableHistory.set(this->manager.routingTable(this->loop.now()));
}

// Updates the list of requests under which upstreams may have crashed; returns whether it differs
// from the previous one in more than the ages.
bool GatewayUpdates::updateSuspects()
{
    this->suspects = this->manager.suspects(this->loop.now());
    const std::uint64_t tag = tagOf(this->suspects);
    return std::exchange(this->suspectsTag, tag) != tag;
}

} // namespace cassiaroad
