#include "version/upstreamsupervisor.h"

#include "version/grantbuilder.h"
#include "version/settingoverrides.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds forgetAfter { 60000 }; // a lost upstream that owns nothing

bool known(const std::vector<std::string> &instances, const std::string &instance)
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
    if (entry != nullptr && known(entry->formerInstances, upstream.instance)) {
        return "instance \"" + upstream.instance + "\" was replaced by a newer one";
    }
    return "";
}

void UpstreamSupervisor::announced(const AnnounceRequested &event)
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
        this->accept(event, *entry);
        return;
    }
    if (!this->context.proposals.inFlight(event.upstream.id)) {
        if (entry == nullptr) {
            this->context.propose(RegisterUpstream { event.upstream }, { event.upstream.id });
        } else {
            this->change(*entry, event.upstream, UpstreamState::Up);
        }
    }
    // The instance is not registered yet. It gets a lease that contains no grants.
    reply.lease = this->context.config.upstreamLease;
    reply.unchanged = event.heldGrants == 0;
    reply.grants.version = this->context.state.revision();
    this->context.actions.emplace_back(reply);
}

void UpstreamSupervisor::accept(const AnnounceRequested &event, const UpstreamEntry &entry)
{
    this->noteReleased(event);
    const UpstreamState state
            = entry.state == UpstreamState::Lost ? UpstreamState::Up : entry.state;
    if (entry.upstream != event.upstream || entry.state != state) {
        this->change(entry, event.upstream, state);
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

void UpstreamSupervisor::noteReleased(const AnnounceRequested &event)
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

bool UpstreamSupervisor::released(const RouteSubject &subject, Epoch epoch) const
{
    const auto found = this->releasedSubjects.find(subject);
    return found != this->releasedSubjects.end() && found->second == epoch;
}

bool UpstreamSupervisor::assignmentDue(const std::string &service) const
{
    const auto found = this->firstAnnouncements.find(service);
    return found != this->firstAnnouncements.end()
           && this->context.now >= found->second + this->context.config.initialAssignmentDelay;
}

void UpstreamSupervisor::change(const UpstreamEntry &entry, const Upstream &upstream,
                                UpstreamState state)
{
    const UpstreamId &id = upstream.id;
    if (this->context.proposals.inFlight(id)) {
        return;
    }
    if (entry.state != state || entry.upstream.instance != upstream.instance) {
        this->context.health.clear(id, this->context.now);
    }
    this->context.propose(ChangeUpstream { upstream, state }, { id });
}

void UpstreamSupervisor::step()
{
    this->dropReleased();
    for (const auto &[id, entry] : this->context.state.routing().upstreams()) {
        if (!this->context.proposals.inFlight(id)) {
            this->superviseOne(entry);
        }
    }
}

void UpstreamSupervisor::superviseOne(const UpstreamEntry &entry)
{
    const UpstreamId &id = entry.upstream.id;
    const TimePoint lapse = this->context.leases.upstreamLeaseEnd(id);
    if (entry.state != UpstreamState::Lost) {
        if (this->context.now >= lapse) {
            this->change(entry, entry.upstream, UpstreamState::Lost);
        } else {
            this->superviseFailing(entry);
        }
        return;
    }
    // A drained upstream is kept, so that it is still drained when it comes back.
    if (this->context.now >= lapse + forgetAfter && !entry.drained
        && !this->context.state.routing().isInUse(id)) {
        this->context.propose(RemoveUpstream { id }, { id });
        this->context.leases.forgetUpstream(id);
    }
}

void UpstreamSupervisor::superviseFailing(const UpstreamEntry &entry)
{
    const UpstreamId &id = entry.upstream.id;
    if (entry.state == UpstreamState::Suspected) {
        if (this->context.health.recovered(id, this->context.now)) {
            this->change(entry, entry.upstream, UpstreamState::Up);
        }
    } else if (this->context.health.failing(id, this->context.now) && this->mayEject(id.service)) {
        this->change(entry, entry.upstream, UpstreamState::Suspected);
    }
}

bool UpstreamSupervisor::mayEject(const std::string &service) const
{
    std::size_t present = 0;
    std::size_t ejected = 0;
    for (const auto &[id, entry] : this->context.state.routing().upstreams()) {
        if (id.service == service && entry.state != UpstreamState::Lost) {
            ++present;
            const bool changing = this->context.proposals.inFlight(id);
            ejected += entry.state == UpstreamState::Suspected || changing ? 1 : 0;
        }
    }
    const double percent
            = SettingOverrides::number(this->context.state.routing().overrides(),
                                       "limits.eject-percent", this->context.config.ejectPercent);
    return static_cast<double>(ejected + 1) * 100.0 <= percent * static_cast<double>(present);
}

void UpstreamSupervisor::dropReleased()
{
    std::erase_if(this->releasedSubjects, [this](const auto &item) {
        const RouteEntry *route = this->context.state.routing().route(item.first);
        return route == nullptr || route->route.epoch != item.second;
    });
}

} // namespace cassiaroad
