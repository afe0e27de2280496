#include "version/upstreamsupervisor.h"

#include "version/grantbuilder.h"
#include "version/settingoverrides.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// How long an upstream that owns nothing stays registered after its lease has expired.
constexpr Milliseconds lostUpstreamRetention { 60000 };

bool contains(const std::vector<std::string> &instances, const std::string &instance)
{
    return std::find(instances.begin(), instances.end(), instance) != instances.end();
}

} // namespace

UpstreamSupervisor::UpstreamSupervisor(LeaderContext &leaderContext)
    : context(leaderContext)
{ }

void UpstreamSupervisor::reset()
{
    this->firstAnnouncements.clear();
    this->releasedSubjects.clear();
}

std::string UpstreamSupervisor::refusal(const AnnounceRequested &event) const
{
    const Upstream &upstream = event.upstream;
    if (this->context.service(upstream.id.service) == nullptr) {
        return "service \"" + upstream.id.service + "\" is not configured";
    }
    if (upstream.id.name.empty() || upstream.address.empty() || upstream.instance.empty()
        || upstream.slots == 0) {
        return "name, address, instance and slots are required";
    }
    const UpstreamEntry *entry = this->context.state.routing().upstream(upstream.id);
    if (entry != nullptr && contains(entry->formerInstances, upstream.instance)) {
        return "instance \"" + upstream.instance + "\" was replaced by a newer one";
    }
    return "";
}

void UpstreamSupervisor::onAnnounceRequested(const AnnounceRequested &event)
{
    ReplyAnnounce reply;
    reply.call = event.call;
    reply.refused = this->refusal(event);
    if (!reply.refused.empty()) {
        this->context.actions.emplace_back(reply);
        return;
    }
    this->firstAnnouncements.emplace(event.upstream.id.service, this->context.now);
    const UpstreamEntry *entry = this->context.state.routing().upstream(event.upstream.id);
    if (entry != nullptr && entry->upstream.instance == event.upstream.instance) {
        this->answerRegistered(event, *entry);
        return;
    }
    if (!this->context.proposals.isInFlight(event.upstream.id)) {
        if (entry == nullptr) {
            this->context.propose(RegisterUpstream { event.upstream }, { event.upstream.id });
        } else {
            this->proposeChange(*entry, event.upstream, UpstreamState::Up);
        }
    }
    // The instance is not registered yet, so its lease contains no grants.
    reply.lease = this->context.config.upstreamLease;
    reply.unchanged = event.heldGrants == 0;
    reply.grants.version = this->context.state.revision();
    this->context.actions.emplace_back(reply);
}

void UpstreamSupervisor::answerRegistered(const AnnounceRequested &event,
                                          const UpstreamEntry &entry)
{
    this->recordReleased(event);
    const UpstreamState state
            = entry.state == UpstreamState::Lost ? UpstreamState::Up : entry.state;
    if (entry.upstream != event.upstream || entry.state != state) {
        this->proposeChange(entry, event.upstream, state);
    }
    this->context.leases.renewUpstream(entry.upstream.id, this->context.now);
    ReplyAnnounce reply;
    reply.call = event.call;
    reply.lease = this->context.config.upstreamLease;
    reply.unchanged = event.heldGrants == entry.grantVersion;
    if (!reply.unchanged) {
        const ServiceShards *service = this->context.service(entry.upstream.id.service);
        reply.grants = GrantBuilder::build(this->context.state.routing(), entry, service->shards);
    }
    this->context.actions.emplace_back(std::move(reply));
}

void UpstreamSupervisor::recordReleased(const AnnounceRequested &event)
{
    for (const ReleasedSubject &released : event.released) {
        const RouteEntry *route = this->context.state.routing().route(released.subject);
        if (route != nullptr && route->route.state == RouteState::Releasing
            && route->route.upstream == event.upstream.id.name
            && serviceOf(released.subject) == event.upstream.id.service
            && route->route.epoch == released.epoch) {
            this->releasedSubjects[released.subject] = released.epoch;
        }
    }
}

bool UpstreamSupervisor::isReleased(const RouteSubject &subject, Epoch epoch) const
{
    const auto found = this->releasedSubjects.find(subject);
    return found != this->releasedSubjects.end() && found->second == epoch;
}

bool UpstreamSupervisor::isAssignmentDue(const std::string &service) const
{
    const auto found = this->firstAnnouncements.find(service);
    return found != this->firstAnnouncements.end()
           && this->context.now >= found->second + this->context.config.initialAssignmentDelay;
}

void UpstreamSupervisor::proposeChange(const UpstreamEntry &entry, const Upstream &upstream,
                                       UpstreamState state)
{
    const UpstreamId &id = upstream.id;
    if (this->context.proposals.isInFlight(id)) {
        return;
    }
    if (entry.state != state || entry.upstream.instance != upstream.instance) {
        this->context.health.clear(id, this->context.now);
    }
    this->context.propose(ChangeUpstream { upstream, state }, { id });
}

void UpstreamSupervisor::step()
{
    this->pruneReleased();
    for (const auto &[id, entry] : this->context.state.routing().upstreams()) {
        if (!this->context.proposals.isInFlight(id)) {
            this->superviseUpstream(entry);
        }
    }
}

void UpstreamSupervisor::superviseUpstream(const UpstreamEntry &entry)
{
    const UpstreamId &id = entry.upstream.id;
    const TimePoint expiry = this->context.leases.upstreamLeaseEnd(id);
    if (entry.state != UpstreamState::Lost) {
        if (this->context.now >= expiry) {
            this->proposeChange(entry, entry.upstream, UpstreamState::Lost);
        } else {
            this->superviseHealth(entry);
        }
        return;
    }
    // A drained upstream stays registered, so that it is still drained when it announces again.
    if (this->context.now >= expiry + lostUpstreamRetention && !entry.drained
        && !this->context.state.routing().isInUse(id)) {
        this->context.propose(RemoveUpstream { id }, { id });
        this->context.leases.forgetUpstream(id);
    }
}

void UpstreamSupervisor::superviseHealth(const UpstreamEntry &entry)
{
    const UpstreamId &id = entry.upstream.id;
    if (entry.state == UpstreamState::Suspected) {
        if (this->context.health.hasRecovered(id, this->context.now)) {
            this->proposeChange(entry, entry.upstream, UpstreamState::Up);
        }
    } else if (this->context.health.isFailing(id, this->context.now)
               && this->canEject(id.service)) {
        this->proposeChange(entry, entry.upstream, UpstreamState::Suspected);
    }
}

bool UpstreamSupervisor::canEject(const std::string &service) const
{
    std::size_t present = 0;
    std::size_t ejected = 0;
    for (const auto &[id, entry] : this->context.state.routing().upstreams()) {
        if (id.service == service && entry.state != UpstreamState::Lost) {
            ++present;
            const bool changing = this->context.proposals.isInFlight(id);
            ejected += entry.state == UpstreamState::Suspected || changing ? 1 : 0;
        }
    }
    const double percent
            = SettingOverrides::number(this->context.state.routing().overrides(),
                                       "limits.eject-percent", this->context.config.ejectPercent);
    return static_cast<double>(ejected + 1) * 100.0 <= percent * static_cast<double>(present);
}

void UpstreamSupervisor::pruneReleased()
{
    std::erase_if(this->releasedSubjects, [this](const auto &item) {
        const RouteEntry *route = this->context.state.routing().route(item.first);
        return route == nullptr || route->route.epoch != item.second;
    });
}

} // namespace cassiaroad
