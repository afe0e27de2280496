#pragma once

#include "cassiaroad/dispatchertable.h"
#include "cassiaroad/entryrequest.h"
#include "cassiaroad/loadcounter.h"
#include "request/draintracker.h"
#include "request/retrybudget.h"
#include "request/routetablecache.h"

#include <map>

namespace cassiaroad {

/** Limits of an OwnerSender. */
struct SenderSettings
{
    DispatcherSettings upstreamDispatcher;
    std::size_t maxWaitingForOwner = 1024; // requests
    std::size_t maxResponseBytes = 16UL << 20U;
    std::uint32_t retryPercent = 10; // retries, as a percentage of the requests

    bool operator==(const SenderSettings &) const = default;
};

/**
 * Sends requests to the owners of their keys. Requests wait while their key has no owner or the
 * entry host has no lease, and while the owner has no capacity for them. Lease and owner are
 * checked again just before the first byte is written. Failed attempts are retried if that is safe
 * and the retry budget allows it. Loop thread only.
 */
class OwnerSender
{
public:
    /** All references must outlive the sender. */
    OwnerSender(EventLoop &loop, HttpClient &client, const RouteTableCache &cache,
                const SenderSettings &settings);
    ~OwnerSender();
    OwnerSender(const OwnerSender &) = delete;
    OwnerSender &operator=(const OwnerSender &) = delete;

    /** Sends a request; @p done is called once, unless the sender is destroyed before. */
    void run(const RequestPtr &request, std::function<void(RequestEnd)> done);

    /** Ends a request as refused or unknown, whichever is true. Does nothing if it has ended. */
    void stop(const RequestPtr &request, int status, const std::string &reason);

    /**
     * To be called when the route cache has a newer table or the number of entry hosts has changed:
     * reroutes waiting requests and aborts those whose owner was lost.
     */
    void onTableChanged(std::uint32_t entryHosts);

    /** To be called when the lease is valid again after it had expired. */
    void onLeaseRegained();

    /** To be called every few milliseconds: ends requests that waited too long, starts retries. */
    void tick();

    void setSettings(const SenderSettings &newSettings);

    /** Revision up to which no request in flight belongs to an owner that no longer has its key. */
    Revision drainedRevision() const;

    const DispatcherTable &dispatchers() const { return this->dispatcherTable; }
    LoadCounter &load() { return this->loadCounter; }
    std::size_t waitingForOwnerCount() const { return this->waitingForOwner; }
    std::size_t inFlightCount() const { return this->drains.size(); }
    std::uint64_t retryCount() const { return this->retries; }

private:
    void route(const RequestPtr &request);
    void waitForOwner(const RequestPtr &request);
    void dispatch(const RequestPtr &request, const Owner &owner);
    void startAttempt(const RequestPtr &request);
    bool canWrite(EntryRequest &request);
    void onResult(const RequestPtr &request, HttpResult result);
    void onResponse(const RequestPtr &request, HttpResponse response);
    void onRefusal(const RequestPtr &request, const HttpResponse &response);
    void onFailure(const RequestPtr &request, const HttpFailure &failure);
    void retryOrRefuse(const RequestPtr &request, bool allowed, int status,
                       const std::string &reason);
    void scheduleRetry(const RequestPtr &request);
    void leaveStage(EntryRequest &request);
    void end(const RequestPtr &request, RequestEnd end);
    void refuse(const RequestPtr &request, int status, const std::string &reason);
    void startQueued(const std::shared_ptr<UpstreamDispatcher> &upstreamDispatcher);
    void abortRequestsOfLostOwners(const std::vector<RequestId> &lost);
    void routeAll(RequestStage currentStage);
    void checkWaiting(TimePoint now);
    HttpRequest upstreamRequest(const EntryRequest &request);
    std::vector<RequestPtr> requestsAt(RequestStage currentStage) const;

    EventLoop &loop;
    const RouteTableCache &cache;
    SenderSettings settings;
    DispatcherTable dispatcherTable;
    DrainTracker drains;
    RetryBudget budget;
    LoadCounter loadCounter;
    std::map<RequestId, RequestPtr> requests;
    std::size_t waitingForOwner = 0;
    std::uint64_t lastAttempt = 0;
    std::uint64_t retries = 0;
};

} // namespace cassiaroad
