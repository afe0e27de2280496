// Reactions of OwnerSender to changes of the route table, the lease and the time.
#include "cassiaroad/ownersender.h"

namespace cassiaroad {

namespace {

constexpr int badGateway = 502;
constexpr int unavailable = 503;

} // namespace

std::vector<RequestPtr> OwnerSender::requestsAt(RequestPlace place) const
{
    std::vector<RequestPtr> found;
    for (const auto &[id, request] : this->requests) {
        if (request->place == place) {
            found.push_back(request);
        }
    }
    return found;
}

void OwnerSender::routeAll(RequestPlace place)
{
    for (const RequestPtr &request : this->requestsAt(place)) {
        // An earlier one may have displaced this one.
        if (request->place != place) {
            continue;
        }
        this->leavePlace(*request);
        this->route(request);
    }
}

void OwnerSender::onTableChanged(std::uint32_t entryHosts)
{
    const RouteTable &table = *this->follower.table();
    this->gateTable.update(table, entryHosts, this->settings.gate);
    this->abortLost(this->drains.update(table));
    for (const RequestPtr &request : this->requestsAt(RequestPlace::Queued)) {
        const Ownership ownership = Router::ownerOf(request->target, table);
        const auto *owner = std::get_if<Owner>(&ownership);
        const bool stays = owner != nullptr && *owner == request->owner
                           && this->gateTable.find(owner->upstream) == request->gate;
        if (!stays && request->place == RequestPlace::Queued) {
            this->leavePlace(*request);
            this->route(request);
        }
    }
    this->routeAll(RequestPlace::Held);
}

// The answer of a lost owner can no longer be trusted to arrive; its callers must not wait.
void OwnerSender::abortLost(const std::vector<RequestId> &lost)
{
    for (const RequestId id : lost) {
        const auto found = this->requests.find(id);
        if (found == this->requests.end()) {
            continue;
        }
        const RequestPtr request = found->second;
        this->leavePlace(*request);
        request->progress.markResponseLost();
        this->sendAgainOrEnd(request, request->idempotent, badGateway, "the owner was lost");
    }
}

void OwnerSender::onLeaseRegained()
{
    this->routeAll(RequestPlace::Held);
}

void OwnerSender::tick()
{
    const TimePoint now = this->loop.now();
    for (const auto &[id, gate] : this->gateTable.all()) {
        for (const RequestId expired : gate->takeExpired(now)) {
            this->refuse(this->requests.at(expired), unavailable, "waited too long for the owner");
        }
        this->pump(gate);
    }
    this->checkWaiting(now);
}

void OwnerSender::checkWaiting(TimePoint now)
{
    for (const RequestPtr &request : this->requestsAt(RequestPlace::Held)) {
        if (request->place == RequestPlace::Held
            && now - *request->heldSince >= this->settings.gate.queueTimeout) {
            this->refuse(request, unavailable, "no owner or lease in time");
        }
    }
    for (const RequestPtr &request : this->requestsAt(RequestPlace::Delayed)) {
        if (request->place == RequestPlace::Delayed && now >= request->retryAt) {
            request->place = RequestPlace::Nowhere;
            this->route(request);
        }
    }
}

void OwnerSender::setSettings(const SenderSettings &newSettings)
{
    this->settings = newSettings;
    this->budget.setPercent(newSettings.retryPercent);
}

Revision OwnerSender::drainedRevision() const
{
    return this->drains.drainedRevision(this->follower.table()->revision());
}

} // namespace cassiaroad
