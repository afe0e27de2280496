#include "gateway/gatewayprocess.h"

#include "connection/clientroom.h"
#include "connection/metricsserver.h"
#include "connection/refusalstatus.h"
#include "gateway/gatewayrequest.h"
#include "gateway/listenerlimits.h"
#include "gateway/registrywatcher.h"
#include "gateway/routepreview.h"
#include "gateway/runahead.h"
#include "gateway/stopschedule.h"
#include "process/descriptorlimit.h"
#include "process/parsenumber.h"
#include "process/settingswatcher.h"
#include "process/siteprocess.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
// Upper bound of the body of a request.
constexpr std::size_t maxBodyBytes = std::size_t(64) * 1024 * 1024;
constexpr std::uint32_t maxClientConnections = 2500;
// Share of the connections of clients that is kept free for new ones.
constexpr std::uint32_t reservedConnectionShare = 16;

constexpr std::size_t megabyte = 1000 * 1000;
// The process itself takes 14 MB, responses 32 MiB and as much as the largest of them, 16 MiB,
// while its buffer is copied.
constexpr std::size_t reservedMegabytes = 80;
// Beside a request that is larger than what remains: the process, an eighth of what remains, 500
// connections of clients, and responses as below.
constexpr std::size_t reservedBesideLargestMegabytes = 44;
constexpr std::size_t maxHeadBesideLargest = std::size_t(256) * 1024;
// Of incomplete responses when such a request begins, and beside it.
constexpr std::size_t fewResponseBytes = std::size_t(1024) * 1024;
constexpr std::size_t maxResponsesBesideLargest = std::size_t(8) * 1024 * 1024;

// Limits of the listener for clients.
HttpServerLimits clientLimits(const SiteSettings &settings)
{
    HttpServerLimits limits;
    const auto &role = std::get<GatewaySettings>(settings.role);
    limits.maxRequestBytes = (role.memoryMegabytes - reservedMegabytes) * megabyte;
    limits.maxLargestRequestBytes
            = std::min((role.memoryMegabytes - reservedBesideLargestMegabytes) * megabyte,
                       maxBodyBytes + maxHeadBesideLargest);
    limits.maxBodyBytes = maxBodyBytes;
    // Half of the descriptors stay for upstreams and the rest.
    limits.maxConnections = std::min(maxClientConnections, descriptorLimit() / 2);
    limits.reservedConnections = limits.maxConnections / reservedConnectionShare;
    return limits;
}

/** The components of a gateway, and how they start and stop. Loop thread only. */
class GatewayProcess
{
public:
    GatewayProcess(EventLoop &loop, const SiteSettings &settings, const std::string &settingsFile,
                   const ExternalCodec &codec)
        : loop(loop)
        , settings(settings)
        , codec(codec)
        , log(settings.host)
        , core(loop, settings, codec, this->metrics, this->log)
        , watcher(loop, settings, this->log,
                  { [this] { return this->core.takeReport(); },
                    [this](const GatewayUpdate &update, TimePoint confirmedAt) {
                        this->core.update(update, confirmedAt);
                        this->applyLimits();
                    },
                    [this](const GatewayUpdate &update, TimePoint confirmedAt) {
                        this->core.lateUpdate(update, confirmedAt);
                        this->applyLimits();
                    } })
        , callers(
                  loop, clientLimits(settings),
                  [this](std::shared_ptr<HttpExchange> exchange) {
                      GatewayRequest::begin(this->core, std::move(exchange));
                  },
                  [this](std::string_view /*method*/, std::string_view host,
                         std::string_view path) { return runAheadOf(this->core, host, path); })
        , readiness(loop, HttpServerLimits::withoutBodies(),
                    [this](const std::shared_ptr<HttpExchange> &exchange) {
                        this->handleReadiness(*exchange);
                    })
        , metricsServer(loop, this->metrics, [this] { this->updateMetrics(); })
        , settingsWatcher(loop, settingsFile, this->log, [this](const SiteSettings &changed) {
            this->watcher.setSeeds(changed.seeds);
        })
    { }

    /** Opens the listeners and starts to watch. Returns an empty text, or why it failed. */
    std::string start();
    void stop();

private:
    bool isReady() const;
    void handleReadiness(HttpExchange &exchange);
    void handleRoutePreview(HttpExchange &exchange);
    void applyLimits();
    bool mayHoldLargest();
    void updateMetrics();
    void updateMemoryMetrics();
    void finish();

    EventLoop &loop;
    const SiteSettings &settings;
    const ExternalCodec &codec;
    EventLog log;
    Metrics metrics;
    GatewayCore core;
    RegistryWatcher watcher;
    HttpServer callers;
    HttpServer readiness;
    MetricsServer metricsServer;
    SettingsWatcher settingsWatcher;
    std::weak_ptr<const ActiveConfiguration> limitsFrom; // whose limits are applied
    bool stopping = false;
    EventLoop::Timer closeTimer;
    EventLoop::Timer refusalTimer;
    EventLoop::Timer responseTimer;
    EventLoop::Timer exitTimer;
};

// A request that takes most of the memory leaves little for responses.
bool GatewayProcess::mayHoldLargest()
{
    if (this->core.client().bufferedBytes() > fewResponseBytes) {
        return false;
    }
    this->core.client().setMaxBufferedBytes(maxResponsesBesideLargest);
    return true;
}

std::string GatewayProcess::start()
{
    this->callers.setLargestRequestHandlers(
            { [this] { return this->mayHoldLargest(); },
              [this] { this->core.client().setMaxBufferedBytes(HttpClient::maxBufferedBytes); } });
    logSlowIterations(this->loop, this->log);
    this->log.write({ "start", Event::Weight::Always, { { "role", std::string("gateway") } } });
    const auto &role = std::get<GatewaySettings>(this->settings.role);
    std::string reason = this->callers.listen(role.callers);
    if (reason.empty()) {
        reason = this->readiness.listen(role.readiness);
    }
    if (reason.empty() && this->settings.metricsPort != 0) {
        reason = this->metricsServer.listen({ this->settings.bindIp, this->settings.metricsPort });
    }
    this->core.setReportHandler([this] { this->watcher.reportSoon(); });
    this->core.coldAdmission().setCaller(
            [this](const PermitRequest &request, const ColdAdmission::Done &done) {
                return this->watcher.askPermits(request, done);
            });
    if (reason.empty()) {
        this->watcher.start();
    }
    return reason;
}

bool GatewayProcess::isReady() const
{
    return !this->stopping && this->core.view().active && this->core.view().table
           && this->callers.hasRoom();
}

// Applies the limits that the configuration in use carries.
void GatewayProcess::applyLimits()
{
    const std::shared_ptr<const ActiveConfiguration> &active = this->core.view().active;
    if (!active || active == this->limitsFrom.lock()) {
        return;
    }
    this->limitsFrom = active;
    this->callers.setLimits(
            withClientLimits(clientLimits(this->settings), active->configuration.limits));
}

void GatewayProcess::handleRoutePreview(HttpExchange &exchange)
{
    const RoutePreview preview
            = previewRoute(this->core, { std::string(exchange.header(routeHostHeader)),
                                         std::string(exchange.header(routePathHeader)),
                                         parseNumber<KeyNumber>(exchange.header(routeKeyHeader)) });
    exchange.answer(statusOk, { { "content-type", "application/json" } }, toJson(preview));
}

void GatewayProcess::handleReadiness(HttpExchange &exchange)
{
    if (exchange.path() == routePreviewPath) {
        this->handleRoutePreview(exchange);
        return;
    }
    if (exchange.path() != this->codec.readinessPath()) {
        exchange.answer(statusNotFound, {}, {});
        return;
    }
    exchange.answer(this->isReady() ? statusOk : statusUnavailable, {}, {});
}

// Reports that the gateway is not ready, and closes the listener for clients only after the
// balancer has noticed: until then new connections still arrive.
void GatewayProcess::stop()
{
    if (this->stopping) {
        return;
    }
    this->stopping = true;
    this->log.write({ "stop", Event::Weight::Always, {} });
    const StopSchedule schedule = stopScheduleFor(this->settings.bounds.stopGracePeriod);
    this->core.stop(schedule.refuseNew);
    this->callers.closeAfterNextResponse();
    this->closeTimer = this->loop.callAfter(
            schedule.closeListener, [this] { this->callers.shutDown([this] { this->finish(); }); });
    this->refusalTimer = this->loop.callAfter(
            schedule.refuseWaiting, [this] { this->core.enterStopStage(StopStage::Refuse); });
    this->responseTimer = this->loop.callAfter(
            schedule.respond, [this] { this->core.enterStopStage(StopStage::Respond); });
    this->exitTimer = this->loop.callAfter(schedule.exit, [this] { this->finish(); });
}

void GatewayProcess::finish()
{
    const HttpServerBacklog backlog = this->callers.backlog();
    this->log.write({ "stopped",
                      Event::Weight::Always,
                      { { "connections", std::int64_t(backlog.connections) },
                        { "incomplete_requests", std::int64_t(backlog.incompleteRequests) },
                        { "open_requests", std::int64_t(backlog.openRequests) },
                        { "unwritten_responses", std::int64_t(backlog.unwrittenResponses) } } });
    this->loop.stop();
}

void GatewayProcess::updateMemoryMetrics()
{
    const ClientRoomCounts &counts = this->callers.roomCounts();
    this->metrics
            .gauge("cassiaroad_gateway_memory_refusals",
                   "Requests refused before they ran, as their responses could not be held.")
            .Set(static_cast<double>(counts.refusedRequests));
    this->metrics
            .gauge("cassiaroad_gateway_largest_requests",
                   "Requests larger than the bound of all that were read, as little else was held.")
            .Set(static_cast<double>(this->callers.largestRequestCount()));
    this->metrics
            .gauge("cassiaroad_gateway_lost_responses",
                   "Responses replaced by 502, as they could not be held.")
            .Set(static_cast<double>(counts.lostResponses));
    this->metrics
            .gauge("cassiaroad_gateway_disconnected_clients",
                   "Clients without progress that were disconnected, as memory was short.")
            .Set(static_cast<double>(counts.disconnectedClients));
}

void GatewayProcess::updateMetrics()
{
    const RoutingView &view = this->core.view();
    this->metrics.gauge("cassiaroad_gateway_configuration", "Version of the configuration in use.")
            .Set(view.version());
    this->metrics
            .gauge("cassiaroad_gateway_table_age_seconds",
                   "Time since the leader last confirmed the routing table.")
            .Set(static_cast<double>((this->loop.now() - view.tableConfirmedAt).count) / 1000.0);
    this->metrics
            .gauge("cassiaroad_gateway_update_age_seconds",
                   "Time since the leader last confirmed the configuration.")
            .Set(static_cast<double>((this->loop.now() - view.confirmedAt).count) / 1000.0);
    this->metrics
            .gauge("cassiaroad_gateway_budget_gateways",
                   "Gateways among which the fixed part of the retry budget is divided.")
            .Set(view.gateways);
    this->metrics.gauge("cassiaroad_gateway_connections", "Open connections of clients.")
            .Set(static_cast<double>(this->callers.connectionCount()));
    this->metrics
            .gauge("cassiaroad_gateway_request_bytes",
                   "Bytes that the requests of clients hold, without those below 4 KiB.")
            .Set(static_cast<double>(this->callers.heldRequestBytes()));
    this->updateMemoryMetrics();
    const RequestsAhead ahead = this->callers.requestsAhead();
    this->metrics
            .gauge("cassiaroad_gateway_requests_ahead",
                   "Pipelined requests that were started and have not had their turn.")
            .Set(static_cast<double>(ahead.open));
    this->metrics
            .gauge("cassiaroad_gateway_requests_ahead_started",
                   "Pipelined requests that were started before their turn, since the start.")
            .Set(static_cast<double>(ahead.started));
    this->metrics
            .gauge("cassiaroad_gateway_requests_ahead_bytes",
                   "Bytes that are reserved for responses to requests before their turn.")
            .Set(static_cast<double>(ahead.heldBytes));
    updateLogGauges(this->metrics, this->log);
    updateWorkGauges(this->metrics, this->loop.workMeter());
}

} // namespace

int runGatewayProcess(const SiteSettings &settings, const std::string &settingsFile,
                      const ExternalCodec &codec)
{
    EventLoop loop;
    GatewayProcess process(loop, settings, settingsFile, codec);
    return runUntilStopped(loop, process, settings.host) ? 0 : 1;
}

} // namespace cassiaroad
