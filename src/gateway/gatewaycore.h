#pragma once

#include "connection/httpclient.h"
#include "gateway/gatewayupstream.h"
#include "gateway/routingview.h"
#include "process/eventlog.h"
#include "process/metrics.h"
#include "process/sitesettings.h"
#include "request/siteretrybudget.h"
#include "request/weightedrotation.h"
#include "version/externalcodec.h"

#include <functional>
#include <random>

namespace cassiaroad {

/**
 * What the requests of one gateway share: the view of the site, upstreams, budgets, connections.
 * Loop thread only.
 */
class GatewayCore
{
public:
    /** The arguments must outlive the object. */
    GatewayCore(EventLoop &loop, const SiteSettings &settings, const ExternalCodec &codec,
                Metrics &metrics, EventLog &log);

    /** Takes what the leader sent. */
    void update(const GatewayUpdate &update);

    /** Returns what happened since the previous call. */
    GatewayReport takeReport();

    const RoutingView &view() const { return this->routing; }
    /** Returns the upstream with this id, or null. */
    std::shared_ptr<GatewayUpstream> upstream(const std::string &id) const;
    /** Returns the best upstream of a service without keys, except those in @p tried; or null. */
    std::shared_ptr<GatewayUpstream> choose(const std::string &service,
                                            const std::vector<std::string> &tried) const;
    /** Picks the service of a request on @p route. */
    const std::string &chooseService(const SiteRoute &route);

    SiteRetryBudget &budget(const std::string &service);
    void countRequest(const std::string &service, std::optional<KeyNumber> key);

    /** Calls @p wake when the routing table changes; returns a number for forget(). */
    std::uint64_t waitForTable(std::function<void()> wake);
    void forgetWait(std::uint64_t number) { this->tableWaits.erase(number); }

    /** Calls @p start when admission() of @p upstream has room for the request. */
    void waitForRoom(GatewayRequestId id, std::function<void()> start);
    void forgetRoom(GatewayRequestId id) { this->roomWaits.erase(id); }
    /** A request at @p upstream has ended: starts those that wait. */
    void startWaiting(GatewayUpstream &upstream);

    /**
     * The process ends after @p grace. From now on no request that an upstream works at is given
     * up; in the second half of the grace, new requests are refused.
     */
    void stop(Milliseconds grace);
    bool isStopping() const { return this->refusesFrom.has_value(); }
    /** Whether a request that arrives now could not be answered before the process ends. */
    bool refusesRequests() const;

    /** Calls @p refuse if the process is about to end before the request has. */
    void addOpenRequest(GatewayRequestId id, std::function<void()> refuse);
    void removeOpenRequest(GatewayRequestId id) { this->openRequests.erase(id); }
    /** The process is about to end: refuses the requests that no upstream has got. */
    void refuseWaitingRequests();

    /** Time after which a key whose owner is gone probably has another one. */
    Milliseconds ownerReplacement() const { return this->settings.heartbeat * 2; }

    GatewayRequestId nextRequestId() { return ++this->lastRequestId; }

    EventLoop &eventLoop() { return this->loop; }
    HttpClient &client() { return this->httpClient; }
    const ExternalCodec &externalCodec() const { return this->codec; }
    EventLog &events() { return this->log; }

    /** Counts a finished request. */
    void countOutcome(RouteKind kind, const std::string &outcome, Milliseconds total,
                      Milliseconds queued);

private:
    bool takeChange(const GatewayUpdate &update);
    std::optional<std::string> wholeDocument(const GatewayUpdate &update) const;
    void takeDocument(const GatewayUpdate &update);
    void takeTable(const RoutingTable &table);
    Distance distanceTo(const std::string &zone) const;
    void wakeTableWaits();

    EventLoop &loop;
    const SiteSettings &settings;
    const ExternalCodec &codec;
    Metrics &metrics;
    EventLog &log;
    HttpClient httpClient;
    RoutingView routing;
    std::string document; // of the configuration in use; see packText()
    bool needsWholeDocument = false;
    std::map<std::string, std::shared_ptr<GatewayUpstream>> upstreams; // by id
    std::map<std::string, SiteRetryBudget> budgets; // by service
    std::map<std::string, WeightedRotation> rotations; // by host and prefix
    std::map<std::pair<std::string, KeyNumber>, std::uint32_t> keyRequests;
    std::uint32_t requestCount = 0;
    std::map<std::uint64_t, std::function<void()>> tableWaits;
    std::map<GatewayRequestId, std::function<void()>> roomWaits;
    std::map<GatewayRequestId, std::function<void()>> openRequests;
    std::uint64_t lastWait = 0;
    GatewayRequestId lastRequestId = 0;
    std::optional<TimePoint> refusesFrom; // of a gateway that stops
    EventLoop::Timer idleTimer;
};

} // namespace cassiaroad
