#include "version/simulation.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds callTimeout { 120 };
constexpr std::uint32_t shardCount = 4;
const std::string service = "orders";
const std::vector<std::string> keys { "k0", "k1", "k2", "k3", "k4", "k5" };

} // namespace

void Simulation::stepEntry(FakeEntry &entry)
{
    if (this->now < entry.pausedUntil) {
        return;
    }
    this->reviewInFlight(entry);
    if (this->now >= entry.nextWatch) {
        this->watch(entry);
    }
    if (this->random(2) == 0) {
        this->routeRequest(entry);
    }
    if (this->random(10) == 0) {
        this->keyedRequest(entry);
    }
}

void Simulation::watch(FakeEntry &entry)
{
    WatchRequested event;
    event.host = entry.id;
    event.zone = "a";
    event.seenRevision = entry.table->revision();
    event.drainedRevision = entry.drained;
    for (const auto &[name, until] : this->failingUntil) {
        const bool failing = this->now < until && !this->healed;
        event.health.push_back({ { service, name }, 4, failing ? 4U : 0U, 0 });
    }
    entry.watchCall = this->call(event, { std::to_string(entry.id.instance), {}, {}, 0 },
                                 this->now < entry.partitionedUntil && !this->healed);
    entry.nextWatch = this->now + callTimeout;
}

void Simulation::onReply(const ReplyWatch &reply, const Call &call)
{
    FakeEntry *entry = this->entryOf(call);
    if (entry == nullptr) {
        return;
    }
    // Late replies are used as well: their lease counts from the time of the call.
    const auto next = entry->table->apply(reply.delta);
    if (next != nullptr) {
        entry->table = next;
        entry->leaseUntil = std::max(entry->leaseUntil, call.sent + reply.lease);
        this->reviewInFlight(*entry);
    }
    entry->nextWatch = this->now;
}

// Aborts requests whose owner has changed or is lost, and reports a revision as drained once no
// request is left whose owner changes by a plan.
void Simulation::reviewInFlight(FakeEntry &entry)
{
    bool waiting = false;
    for (auto it = entry.inFlight.begin(); it != entry.inFlight.end();) {
        const FakeEntry::Request &request = it->second;
        const RouteLookup found = entry.table->lookup(service, request.key, shardCount);
        const bool sameOwner = found.route.upstream == request.upstream && found.upstream != nullptr
                               && found.upstream->instance == request.instance;
        const bool planned = found.route.state == RouteState::Releasing
                             && found.route.reason == MoveReason::Planned;
        if (sameOwner && (planned || found.route.state == RouteState::Owned)) {
            waiting = waiting || planned;
            ++it;
            continue;
        }
        this->endRun(it->first);
        it = entry.inFlight.erase(it);
    }
    if (!waiting) {
        entry.drained = entry.table->revision();
    }
}

void Simulation::routeRequest(FakeEntry &entry)
{
    const std::string &key = keys[this->random(static_cast<std::uint32_t>(keys.size()))];
    const RouteLookup found = entry.table->lookup(service, key, shardCount);
    if (this->now >= entry.leaseUntil || found.route.state != RouteState::Owned
        || found.upstream == nullptr) {
        return;
    }
    const RouteSubject subject = found.movedKey ? RouteSubject(KeyRef { service, key })
                                                : RouteSubject(ShardRef { service, found.shard });
    const RouteEntry *actualRoute = this->leader().state->routing().route(subject);
    if (actualRoute != nullptr && actualRoute->route.epoch != found.route.epoch) {
        this->addViolation(
                entry.id.name + " routes " + key + " by epoch " + std::to_string(found.route.epoch)
                + " under a live lease, the epoch is " + std::to_string(actualRoute->route.epoch));
    }
    const auto upstream = std::find_if(
            this->upstreams.begin(), this->upstreams.end(), [&](const FakeUpstream &candidate) {
                return candidate.description.instance == found.upstream->instance
                       && this->now >= candidate.pausedUntil;
            });
    if (upstream == this->upstreams.end()) {
        return;
    }
    const auto grant = upstream->grantFor(key, this->now);
    const bool granted = grant && grant->subject == subject && grant->epoch == found.route.epoch;
    if (upstream->description.checksGrants && !granted) {
        return; // refused without being run
    }
    const std::uint64_t request = ++this->lastRequest;
    ++this->runCount;
    upstream->runs.push_back({ key, subject, found.route.epoch,
                               this->now + Milliseconds { 1 + this->random(60) }, request, false });
    entry.inFlight.emplace(
            request, FakeEntry::Request { key, found.route.upstream, found.upstream->instance });
}

void Simulation::endRun(std::uint64_t request)
{
    for (FakeUpstream &upstream : this->upstreams) {
        std::erase_if(upstream.runs, [&](const auto &run) {
            return run.request == request && this->now >= upstream.pausedUntil;
        });
    }
}

void Simulation::keyedRequest(FakeEntry &entry)
{
    if (this->now >= entry.leaseUntil) {
        return;
    }
    BeginRequested event;
    event.request.key = { service, "k0", "order " + std::to_string(this->random(20)) };
    event.request.digest = 7;
    event.request.host = entry.id;
    this->call(event, { std::to_string(entry.id.instance), {}, event.request.key, 0 },
               this->now < entry.partitionedUntil && !this->healed);
}

void Simulation::onReply(const ReplyBegin &reply, const Call &call)
{
    const auto *started = std::get_if<LedgerStarted>(&reply.result);
    if (started == nullptr || this->entryOf(call) == nullptr) {
        return;
    }
    int &runs = this->keyedRuns[call.key.idempotencyKey];
    if (++runs > 1) {
        this->addViolation("request with idempotency key " + call.key.idempotencyKey
                           + " runs twice");
    }
    FinishRequested finish;
    finish.request.key = call.key;
    finish.request.ticket = started->ticket;
    switch (this->random(4)) {
    case 0:
        finish.request.outcome = LedgerNotRun {};
        --runs;
        break;
    case 1:
        finish.request.outcome = LedgerUnknown {};
        break;
    case 2:
        finish.request.outcome = StoredAnswer { 201, "text/plain", "done", false };
        break;
    default:
        return; // the entry host never finishes
    }
    this->call(finish, { call.process, {}, {}, 0 }, false);
}

void Simulation::stepUpstream(FakeUpstream &upstream)
{
    if (this->now < upstream.pausedUntil) {
        for (FakeUpstream::Run &run : upstream.runs) {
            run.isExempt = true;
        }
        return;
    }
    for (const FakeUpstream::Run &run : upstream.runs) {
        if (this->now >= run.until) {
            for (FakeEntry &entry : this->entries) {
                entry.inFlight.erase(run.request);
            }
        }
    }
    std::erase_if(upstream.runs, [this](const auto &run) { return this->now >= run.until; });
    if (this->now >= upstream.nextAnnounce) {
        this->announce(upstream);
    }
}

void Simulation::announce(FakeUpstream &upstream)
{
    AnnounceRequested event;
    event.upstream = upstream.description;
    event.upstream.draining = upstream.description.draining && !this->healed;
    event.heldGrants = upstream.grants.version;
    for (const Grant &grant : upstream.grants.grants) {
        const bool running = std::any_of(
                upstream.runs.begin(), upstream.runs.end(), [&grant](const auto &run) {
                    const KeyRef key { service, run.key };
                    const ShardRef shard { service, shardOfKey(run.key, shardCount) };
                    return grant.subject == RouteSubject(key)
                           || grant.subject == RouteSubject(shard);
                });
        if (grant.releasing && !running) {
            event.released.push_back({ grant.subject, grant.epoch });
        }
    }
    this->call(event, { upstream.description.instance, {}, {}, upstream.grants.version },
               this->now < upstream.partitionedUntil && !this->healed);
    upstream.nextAnnounce = this->now + this->config.announceInterval;
}

void Simulation::onReply(const ReplyAnnounce &reply, const Call &call)
{
    FakeUpstream *upstream = this->upstreamOf(call);
    if (upstream == nullptr || !reply.refused.empty()) {
        return;
    }
    upstream->leaseUntil = std::max(upstream->leaseUntil, call.sent + reply.lease);
    if (reply.unchanged || reply.grants.version <= upstream->grants.version) {
        return;
    }
    upstream->grants = reply.grants;
    for (const Grant &grant : reply.grants.grants) {
        const std::string &instance = upstream->description.instance;
        const auto firstOwner
                = this->epochOwners.emplace(std::pair(grant.subject, grant.epoch), instance);
        if (firstOwner.first->second != instance) {
            this->addViolation("epoch " + std::to_string(grant.epoch) + " of "
                               + toString(grant.subject) + " is granted to two instances");
        }
    }
}

void Simulation::onReply(const ReplyPlan &reply, const Call &)
{
    if (!reply.refused.empty()) {
        return;
    }
    this->basisOf[reply.plan.number] = reply.plan.basis;
    for (const char *who : { "anna", "bo" }) {
        ConfirmRequested event;
        event.id = { who, reply.plan.number };
        event.plan = reply.plan.number;
        this->call(event, { "operator", {}, {}, 0 }, false);
        this->call(event, { "operator", {}, {}, 0 }, false); // sent twice
    }
}

void Simulation::onReply(const ReplyConfirm &reply, const Call &)
{
    const Confirmation &result = reply.confirmation;
    const bool stored
            = result.status == ConfirmStatus::Accepted || result.status == ConfirmStatus::Conflict;
    if (!stored) {
        return;
    }
    const auto earlier = this->acknowledged.emplace(result.id, result).first;
    if (earlier->second.status != result.status) {
        this->addViolation("a repeated confirmation got another result");
    }
    if (result.status == ConfirmStatus::Accepted) {
        const Revision basis = this->basisOf[result.plan];
        const auto winner = this->winnerOf.emplace(basis, result.id).first;
        if (winner->second != result.id) {
            this->addViolation("two confirmations of one basis were accepted");
        }
    }
}

void Simulation::check()
{
    for (const std::string &key : keys) {
        this->checkOwners(key);
    }
    if (!this->upstreamsCheckGrants) {
        this->checkRuns();
    }
}

void Simulation::checkOwners(const std::string &key)
{
    std::set<std::string> owners;
    for (const FakeUpstream &upstream : this->upstreams) {
        const bool hasGrantedRun = std::any_of(
                upstream.runs.begin(), upstream.runs.end(), [&](const auto &run) {
                    const auto &grants = upstream.grants.grants;
                    return run.key == key && this->now < upstream.leaseUntil
                           && std::any_of(grants.begin(), grants.end(), [&run](const auto &grant) {
                                  return grant.subject == run.subject && grant.epoch == run.epoch;
                              });
                });
        if (hasGrantedRun || upstream.grantFor(key, this->now)) {
            owners.insert(upstream.description.instance);
        }
    }
    if (owners.size() > 1) {
        this->addViolation(key + " may run on " + std::to_string(owners.size())
                           + " upstreams under live leases");
    }
}

// An upstream that does not check grants runs every request that it gets, so exclusion depends on
// the entry hosts. It is not guaranteed for requests of entry hosts without a lease and on
// upstreams that were paused (design, section 4).
void Simulation::checkRuns()
{
    std::map<std::string, std::set<std::string>> running;
    for (FakeUpstream &upstream : this->upstreams) {
        for (FakeUpstream::Run &run : upstream.runs) {
            const bool hasLiveLease = std::any_of(
                    this->entries.begin(), this->entries.end(), [&](const FakeEntry &entry) {
                        return entry.inFlight.contains(run.request) && this->now < entry.leaseUntil;
                    });
            run.isExempt = run.isExempt || !hasLiveLease;
            if (!run.isExempt) {
                running[run.key].insert(upstream.description.instance);
            }
        }
    }
    for (const auto &[key, owners] : running) {
        if (owners.size() > 1) {
            this->addViolation(key + " runs on two upstreams that do not check grants");
        }
    }
}

void Simulation::checkConfirmations()
{
    for (const auto &[id, result] : this->acknowledged) {
        const Confirmation *stored = this->leader().state->plans().result(id);
        if (stored == nullptr || stored->status != result.status || stored->plan != result.plan) {
            this->addViolation("the confirmation of " + id.who + " is no longer stored");
        }
    }
}

void Simulation::checkSettled()
{
    this->checkConfirmations();
    const RoutingState &routing = this->leader().state->routing();
    const bool served = std::any_of(routing.upstreams().begin(), routing.upstreams().end(),
                                    [&](const auto &item) { return routing.accepts(item.second); });
    if (served && !routing.releasing().empty()) {
        this->addViolation(toString(*routing.releasing().begin()) + " still has no new owner");
    }
    for (const FakeEntry &entry : this->entries) {
        if (entry.table->revision() != routing.revision()) {
            this->addViolation(entry.id.name + " does not have the last revision");
        }
    }
    const auto copy = ControlState::restore(this->leader().state->snapshot());
    if (!copy || !(*copy == *this->leader().state)) {
        this->addViolation("a restored snapshot differs");
    }
}

} // namespace cassiaroad
