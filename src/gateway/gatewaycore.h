#pragma once

#include "connection/httpclient.h"
#include "gateway/coldadmission.h"
#include "gateway/connectmonitor.h"
#include "gateway/crashguard.h"
#include "gateway/routingview.h"
#include "gateway/subsetchoice.h"
#include "gateway/upstreamnotice.h"
#include "process/eventlog.h"
#include "process/metrics.h"
#include "process/sitesettings.h"
#include "request/refusedrequests.h"
#include "request/siteretrybudget.h"
#include "request/weightedrotation.h"
#include "version/externalcodec.h"

#include <functional>
#include <random>

namespace cassiaroad {

/** Last stages of a gateway that stops, in their order. */
enum class StopStage {
    Refuse, // requests that no upstream has received are refused
    Respond, // all open requests get a response, since the process is about to end
};

/**
 * State that the requests of one gateway share: the configuration and routing table, the upstreams,
 * the retry budgets, the connections and the requests that wait. Loop thread only.
 */
class GatewayCore
{
public:
    /** The arguments must outlive the object. */
    GatewayCore(EventLoop &loop, const SiteSettings &settings, const ExternalCodec &codec,
                Metrics &metrics, EventLog &log);

    /** Applies an update that the leader of the control group made at @p confirmedAt or later. */
    void update(const GatewayUpdate &update, TimePoint confirmedAt);
    /** As update(), in reply to an earlier report than the last one, which may be lost. */
    void lateUpdate(const GatewayUpdate &update, TimePoint confirmedAt);

    /** Returns the report to the leader: the requests since the previous call. */
    GatewayReport takeReport();

    const RoutingView &view() const { return this->routing; }
    CrashGuard &crashGuard() { return this->crashes; }
    ConnectMonitor &connectMonitor() { return this->connects; }
    /** Returns the upstream with this id, or null. */
    std::shared_ptr<GatewayUpstream> upstream(const std::string &id) const;
    /**
     * Returns the upstream of a service without keys for the next request, see chooseFromSubset()
     * and, for sites with few gateways, chooseBySample(), in a region of @p homes and except those
     * in @p tried, or null if there is none.
     */
    std::shared_ptr<GatewayUpstream> chooseUpstream(const std::string &service,
                                                    const HomeRegions &homes,
                                                    const std::vector<std::string> &tried);
    /**
     * Returns the upstream of the service that would be chosen, but has asked for a pause or is
     * paced, and that may be used first; null if there is none.
     */
    std::shared_ptr<GatewayUpstream> nextUpstream(const std::string &service,
                                                  const HomeRegions &homes,
                                                  const std::vector<std::string> &tried) const;
    /** Returns all upstreams of @p service. */
    GatewayUpstreams upstreamsOf(const std::string &service) const;
    /**
     * Returns the upstreams of a service without keys among which the next request chooses: those
     * at home that may be given work, but for paused and paced ones and those in @p tried.
     */
    GatewayUpstreams readyUpstreams(const std::string &service, const HomeRegions &homes,
                                    const std::vector<std::string> &tried) const;
    /**
     * Returns the subset of the upstreams of a service without keys that requests with @p homes
     * use; null on sites with few gateways. It is valid until the next call.
     */
    const UpstreamSubset *subsetOf(const std::string &service, const HomeRegions &homes);
    /** Whether an upstream of @p service in a region of @p homes may be given work. */
    bool hasUpstream(const std::string &service, const HomeRegions &homes) const;
    /** Whether @p upstream is in a region of @p homes. */
    bool isAtHome(const GatewayUpstream &upstream, const HomeRegions &homes) const;
    /** Returns the service of the next request on @p route, by the weights of its services. */
    const std::string &chooseService(const SiteRoute &route);

    /** Returns the service of @p upstream in the present configuration, or null. */
    const SiteService *serviceOf(const GatewayUpstream &upstream) const;

    /** Permits for requests to cold upstreams. */
    ColdAdmission &coldAdmission() { return this->cold; }
    const ColdAdmission &coldAdmission() const { return this->cold; }
    /** Whether a request may be started at @p upstream now, by its pace and if it is cold. */
    bool mayStart(const GatewayUpstream &upstream) const;
    /** Returns the time until a request may be started at @p upstream, or asked for. */
    Milliseconds startsAfter(const GatewayUpstream &upstream) const;
    /** Returns what @p upstream is asked on each new connection; nothing if it is never cold. */
    std::optional<ConnectionProbe> probeOf(const GatewayUpstream &upstream) const;
    /**
     * Whether the first byte of a request is written to @p upstream on @p connection now, with a
     * permit until @p permitUntil or without one. Records that the upstream is cold, if the
     * connection has told so.
     */
    WriteDecision decideWrite(GatewayUpstream &upstream,
                              const std::optional<TimePoint> &permitUntil,
                              const ConnectionState &connection) const;

    /** Returns the retry budget of a service. */
    SiteRetryBudget &budget(const std::string &service);
    /** Counts a request that has arrived, for the retry budget and for the report to the leader. */
    void countRequest(const std::string &service, const HomeRegions &homes,
                      std::optional<KeyNumber> key);

    /** Sets what sends a report to the leader at once, see reportSoon(). */
    void setReportHandler(std::function<void()> handler)
    {
        this->reportHandler = std::move(handler);
    }
    /** Lets the leader know at once what takeReport() tells it, if it can be reached. */
    void reportSoon() const;

    /**
     * Calls @p resume once, when the routing table changes or the leader decides about a trial; see
     * TrialRequests. Returns a number for cancelTableWait().
     */
    std::uint64_t waitForTableChange(std::function<void()> resume);
    void cancelTableWait(std::uint64_t number) { this->tableWaits.erase(number); }

    /** What a request that waits for capacity of its upstream does next; one is called, once. */
    struct CapacityWait
    {
        std::function<void()> start; // the upstream has capacity for it
        std::function<void()> redirect; // the upstream may get no more requests
        std::function<void()> refuse; // it can no longer get a response in time
    };

    /** Calls one of the functions of @p wait, unless cancelCapacityWait() comes before. */
    void waitForCapacity(GatewayRequestId id, CapacityWait wait);
    void cancelCapacityWait(GatewayRequestId id) { this->capacityWaits.erase(id); }
    /**
     * Refuses the waiting requests of @p upstream that are late, and starts others; must be called
     * when a request there has ended.
     */
    void startWaitingRequests(GatewayUpstream &upstream);
    /** Refuses those that are late; must be called when a request has joined them. */
    void refuseLateRequests(GatewayUpstream &upstream);

    /** Requests that were refused for lack of capacity. */
    RefusedRequests &refusedRequests() { return this->refused; }
    std::mt19937_64 &randomEngine() { return this->random; }

    /**
     * Announces that the process will end. From now on no request that an upstream may be
     * processing is cancelled in order to repeat it; after @p refuseNew, new requests are refused.
     */
    void stop(Milliseconds refuseNew);
    bool isStopping() const { return this->refusalStart.has_value(); }
    /** Whether a request that arrives now might get no response before the process ends. */
    bool refusesNewRequests() const;

    /** Registers a request; @p onStop is called in each later stage of stopping. */
    void addOpenRequest(GatewayRequestId id, std::function<void(StopStage)> onStop);
    void removeOpenRequest(GatewayRequestId id) { this->openRequests.erase(id); }
    /** Tells all open requests that the stopping gateway has reached @p stage. */
    void enterStopStage(StopStage stage);

    /** See GatewayUpstream::hasLeft(). */
    bool hasLeft(const GatewayUpstream &upstream) const
    {
        return upstream.hasLeft(this->loop.now(), this->settings.bounds.drainPeriod,
                                this->connects.timeout());
    }

    /** Time after which a key whose owner is unavailable probably has another owner. */
    Milliseconds ownerReplacementDelay() const { return this->settings.heartbeatInterval * 2; }

    GatewayRequestId nextRequestId() { return ++this->lastRequestId; }

    EventLoop &eventLoop() { return this->loop; }
    TimePoint now() const { return this->loop.now(); }
    HttpClient &client() { return this->httpClient; }
    const ExternalCodec &externalCodec() const { return this->codec; }
    EventLog &events() { return this->log; }

    /** Records what @p upstream has told of itself in a response. */
    void recordNotice(const std::shared_ptr<GatewayUpstream> &upstream,
                      const UpstreamNotice &notice);

    /** Counts a repetition of a request in the metrics, or one that the budget did not allow. */
    void countRepeat(const std::string &service, bool isAllowed);
    /**
     * Counts in the metrics a request that could not start at once, by the pace of @p upstream or
     * since it is cold.
     */
    void countPaced(const GatewayUpstream &upstream);
    /** Counts in the metrics that a request was refused while it waited for capacity. */
    void countQueueRefusal(const std::string &service);
    /** Counts in the metrics that a request has returned after a refusal. */
    void countReturning(const std::string &service);
    /** Counts a finished request in the metrics. */
    void countOutcome(RouteKind kind, const std::string &outcome, Milliseconds total,
                      Milliseconds queuedDuration);

private:
    void apply(const GatewayUpdate &update, TimePoint confirmedAt, bool hasDecidedTrial);
    bool updateRoutingTable(const GatewayUpdate &update);
    std::optional<std::string> fullDocument(const GatewayUpdate &update) const;
    void updateConfiguration(const GatewayUpdate &update);
    void setRoutingTable(const RoutingTable &table);
    void logLeaving(const std::vector<std::string> &ids);
    void logWarming(const RoutingTable &next, std::uint64_t nextTag);
    std::shared_ptr<GatewayUpstream> upstreamOf(const RoutedUpstream &routed);
    void keepUnlisted(const std::shared_ptr<GatewayUpstream> &upstream);
    Distance distanceTo(const std::string &zone) const;
    GatewayUpstreams usableUpstreams(const std::string &service, const HomeRegions &homes,
                                     const std::vector<std::string> &tried) const;
    std::shared_ptr<GatewayUpstream> chooseAmong(const std::string &service,
                                                 const HomeRegions &homes,
                                                 const GatewayUpstreams &candidates);
    std::shared_ptr<GatewayUpstream> chooseAdmitted(const std::string &service,
                                                    const HomeRegions &homes,
                                                    GatewayUpstreams candidates);
    void applyPaces();
    TimePoint trustedConnectionsFrom(const GatewayUpstream &upstream) const;
    std::optional<TimePoint> coldByTableUntil(const GatewayUpstream &upstream,
                                              const SiteService &service) const;
    void countChoice(const std::string &service, ChoiceSource source, std::size_t subsetSize);
    std::optional<AdmittedShare> admittedShareOf(const GatewayUpstream &upstream) const;
    void resumeTableWaits();
    void applyEvacuations(const std::set<std::string> &before);
    void applyEvacuation(const EvacuationChange &change);
    std::size_t redirectWaiting(GatewayUpstream &upstream);

    EventLoop &loop;
    const SiteSettings &settings;
    const ExternalCodec &codec;
    Metrics &metrics;
    EventLog &log;
    HttpClient httpClient;
    RoutingView routing;
    ColdAdmission cold;
    std::string document; // text of the configuration in use; see packText()
    bool needsFullDocument = false; // the last delta could not be applied
    std::map<std::string, std::shared_ptr<GatewayUpstream>> upstreams; // by id
    // Upstreams with a notice that the present routing table does not list.
    std::map<UpstreamIncarnation, std::shared_ptr<GatewayUpstream>> unlisted;
    CrashGuard crashes;
    ConnectMonitor connects;
    std::mt19937_64 random; // for the choice of upstreams and for Retry-After
    ServiceSubsets subsets;
    RefusedRequests refused;
    std::map<std::string, SiteRetryBudget> budgets; // by service
    std::map<std::string, WeightedRotation> rotations; // by host and prefix
    std::map<std::pair<std::string, KeyNumber>, std::uint32_t> keyRequests; // since the last report
    std::uint32_t requestCount = 0; // since the last report
    std::function<void()> reportHandler; // may be empty
    std::map<std::uint64_t, std::function<void()>> tableWaits;
    std::map<GatewayRequestId, CapacityWait> capacityWaits;
    std::map<GatewayRequestId, std::function<void(StopStage)>> openRequests;
    std::uint64_t lastTableWait = 0;
    GatewayRequestId lastRequestId = 0;
    std::optional<TimePoint> refusalStart; // of a gateway that is stopping
    EventLoop::Timer idleTimer;
};

} // namespace cassiaroad
