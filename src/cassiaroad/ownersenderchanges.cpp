// Reactions of OwnerSender to changes of the route table, the lease and the time.
#include "cassiaroad/ownersender.h"

namespace cassiaroad {

namespace {

constexpr int badGateway = 502;
constexpr int unavailable = 503;

} // namespace

std::vector<RequestPtr> OwnerSender::requestsAt(RequestStage currentStage) const
{
    std::vector<RequestPtr> found;
    for (const auto &[id, request] : this->requests) {
        if (request->currentStage == currentStage) {
            found.push_back(request);
        }
    }
    return found;
}

// Routes all requests of one stage anew.
void OwnerSender::routeAll(RequestStage currentStage)
{
    for (const RequestPtr &request : this->requestsAt(currentStage)) {
        // Routing an earlier request may have displaced this one.
        if (request->currentStage != currentStage) {
            continue;
        }
        this->leaveStage(*request);
        this->route(request);
    }
}

void OwnerSender::onTableChanged(std::uint32_t entryHosts)
{
    const RouteTable &table = *this->cache.table();
    this->dispatcherTable.update(table, entryHosts, this->settings.upstreamDispatcher);
    this->abortRequestsOfLostOwners(this->drains.update(table));
    for (const RequestPtr &request : this->requestsAt(RequestStage::Queued)) {
        const Ownership ownership = Router::ownerOf(request->target, table);
        const auto *owner = std::get_if<Owner>(&ownership);
        const bool stays
                = owner != nullptr && *owner == request->owner
                  && this->dispatcherTable.find(owner->upstream) == request->upstreamDispatcher;
        if (!stays && request->currentStage == RequestStage::Queued) {
            this->leaveStage(*request);
            this->route(request);
        }
    }
    this->routeAll(RequestStage::WaitingForOwner);
}

// A response of a lost owner may never arrive, so its callers must not wait for it.
void OwnerSender::abortRequestsOfLostOwners(const std::vector<RequestId> &lost)
{
    for (const RequestId id : lost) {
        const auto found = this->requests.find(id);
        if (found == this->requests.end()) {
            continue;
        }
        const RequestPtr request = found->second;
        this->leaveStage(*request);
        request->progress.markResponseLost();
        this->retryOrRefuse(request, request->idempotent, badGateway, "the owner was lost");
    }
}

void OwnerSender::onLeaseRegained()
{
    this->routeAll(RequestStage::WaitingForOwner);
}

void OwnerSender::tick()
{
    const TimePoint now = this->loop.now();
    for (const auto &[id, upstreamDispatcher] : this->dispatcherTable.all()) {
        for (const RequestId expired : upstreamDispatcher->takeExpired(now)) {
            this->refuse(this->requests.at(expired), unavailable, "waited too long for the owner");
        }
        this->startQueued(upstreamDispatcher);
    }
    this->checkWaiting(now);
}

// Refuses requests that waited too long for an owner or a lease, and starts the retries that are
// due.
void OwnerSender::checkWaiting(TimePoint now)
{
    for (const RequestPtr &request : this->requestsAt(RequestStage::WaitingForOwner)) {
        if (request->currentStage == RequestStage::WaitingForOwner
            && now - *request->waitingSince >= this->settings.upstreamDispatcher.queueTimeout) {
            this->refuse(request, unavailable, "no owner or lease in time");
        }
    }
    for (const RequestPtr &request : this->requestsAt(RequestStage::Delayed)) {
        if (request->currentStage == RequestStage::Delayed && now >= request->retryAt) {
            request->currentStage = RequestStage::None;
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
    return this->drains.drainedRevision(this->cache.table()->revision());
}

} // namespace cassiaroad
