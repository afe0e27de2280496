#pragma once

#include "cassiaroad/entryrequest.h"
#include "cassiaroad/gatetable.h"
#include "cassiaroad/loadcounter.h"
#include "request/draintracker.h"
#include "request/retrybudget.h"
#include "request/routetablecache.h"

#include <map>

namespace cassiaroad {

/** Bounds of an OwnerSender. */
struct SenderSettings
{
    GateSettings gate;
    std::size_t maxHeld = 1024;
    std::size_t maxResponseBytes = 16UL << 20U;
    std::uint32_t retryPercent = 10;

    bool operator==(const SenderSettings &) const = default;
};

/**
 * Sends requests to the owners of their keys: holds them while there is no owner or no lease, lets
 * them wait for the owner's share, checks lease and owner again when the first byte is written, and
 * sends again what may be sent again. Loop thread only.
 */
class OwnerSender
{
public:
    /** All references must outlive the sender. */
    OwnerSender(EventLoop &loop, HttpClient &client, const RouteTableCache &follower,
                const SenderSettings &settings);
    ~OwnerSender();
    OwnerSender(const OwnerSender &) = delete;
    OwnerSender &operator=(const OwnerSender &) = delete;

    /** Sends a request; @p done is called once, unless the request is cancelled. */
    void run(const RequestPtr &request, std::function<void(RequestEnd)> done);

    /** Ends a request as refused or unknown, whichever is true. Does nothing if it has ended. */
    void stop(const RequestPtr &request, int status, const std::string &reason);

    /** The follower has a newer table. */
    void onTableChanged(std::uint32_t entryHosts);

    /** The lease was renewed after it had expired. */
    void onLeaseRegained();

    /** To be called every few milliseconds: ends what has waited too long. */
    void tick();

    void setSettings(const SenderSettings &newSettings);

    Revision drainedRevision() const;
    const GateTable &gates() const { return this->gateTable; }
    LoadCounter &load() { return this->loadCounter; }
    std::size_t heldCount() const { return this->held; }
    std::size_t inFlightCount() const { return this->drains.size(); }
    std::uint64_t retryCount() const { return this->retries; }

private:
    void route(const RequestPtr &request);
    void hold(const RequestPtr &request);
    void enterGate(const RequestPtr &request, const Owner &owner);
    void launch(const RequestPtr &request);
    bool canWrite(EntryRequest &request);
    void onResult(const RequestPtr &request, HttpResult result);
    void onResponse(const RequestPtr &request, HttpResponse answer);
    void onRefusal(const RequestPtr &request, const HttpResponse &answer);
    void onFailure(const RequestPtr &request, const HttpFailure &failure);
    void sendAgainOrEnd(const RequestPtr &request, bool allowed, int status,
                        const std::string &reason);
    void delay(const RequestPtr &request);
    void leavePlace(EntryRequest &request);
    void end(const RequestPtr &request, RequestEnd end);
    void refuse(const RequestPtr &request, int status, const std::string &reason);
    void pump(const std::shared_ptr<UpstreamGate> &gate);
    void abortLost(const std::vector<RequestId> &lost);
    void routeAll(RequestPlace place);
    void checkWaiting(TimePoint now);
    HttpRequest upstreamRequest(const EntryRequest &request);
    std::vector<RequestPtr> requestsAt(RequestPlace place) const;

    EventLoop &loop;
    const RouteTableCache &follower;
    SenderSettings settings;
    GateTable gateTable;
    DrainTracker drains;
    RetryBudget budget;
    LoadCounter loadCounter;
    std::map<RequestId, RequestPtr> requests;
    std::size_t held = 0;
    std::uint64_t lastAttempt = 0;
    std::uint64_t retries = 0;
};

} // namespace cassiaroad
