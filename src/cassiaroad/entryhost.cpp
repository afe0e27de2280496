#include "cassiaroad/entryhost.h"

#include "cassiaroad/announcehandler.h"
#include "cassiaroad/effectivesettings.h"
#include "cassiaroad/requestdispatcher.h"
#include "cassiaroad/routewatcher.h"
#include "process/log.h"

namespace cassiaroad {

namespace {

constexpr Milliseconds tickInterval { 10 };
constexpr Milliseconds idleCheckInterval { 500 };
constexpr Milliseconds loadReportInterval { 1000 };
constexpr std::size_t maxAnnouncementBytes = 256UL * 1024;
constexpr std::uint32_t maxAdminConnections = 64;
constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int unavailable = 503;

// Identifies one start of the entry host: its name and a random number.
EntryHostId newInstance(const std::string &name)
{
    std::random_device random;
    return { name, (std::uint64_t(random()) << 32U) | random() };
}

std::vector<HostAddress> rpcAddresses(const Settings &settings)
{
    std::vector<HostAddress> addresses;
    for (const MemberSettings &member : settings.members) {
        addresses.push_back(member.rpc);
    }
    return addresses;
}

} // namespace

struct EntryHost::Private
{
    Private(EventLoop &loop, Settings given);

    RouteWatcher::Callbacks watchCallbacks();
    WatchReport report();
    void returnHealthCounts(const WatchReport &report);
    void onTableChanged(std::uint32_t entryHosts);
    void tick();
    void handleAdmin(HttpExchange &exchange);
    std::string unhealthyReason() const;
    std::string metricsText();
    void closeListeners();
    void onServerClosed();

    EventLoop &loop;
    Settings settings;
    EffectiveSettings effective;
    EntryHostId id;
    EntryMetrics metrics;
    Tracer tracer;
    HttpClient client;
    ControlClient control;
    RouteWatcher watcher;
    OwnerSender owners;
    KeyedRunner keyed;
    RegionForwarder regions;
    RequestDispatcher dispatcher;
    AnnounceHandler announcements;
    HttpServer callers;
    HttpServer announce;
    HttpServer admin;
    EventLoop::Timer tickTimer;
    EventLoop::Timer idleTimer;
    EventLoop::Timer stopTimer;
    TimePoint lastLoadReport; // load is reported less often than health
    bool stopping = false;
    int openServers = 0; // servers whose shutdown is not complete
    std::function<void()> stopped;
};

EntryHost::Private::Private(EventLoop &loop, Settings given)
    : loop(loop)
    , settings(std::move(given))
    , effective(this->settings, {})
    , id(newInstance(this->settings.host))
    , metrics(this->settings)
    , tracer(loop, std::get<EntrySettings>(this->settings.role).traceFile, this->settings.host)
    , client(loop)
    , control(loop, rpcAddresses(this->settings))
    , watcher(loop, this->control, this->id, this->settings.zone, this->settings.timing.entryLease,
              this->watchCallbacks())
    , owners(loop, this->client, this->watcher.cache(), this->effective.sender())
    , keyed(
              loop, this->control, this->id,
              [this](const RequestPtr &request, std::function<void(RequestEnd)> done) {
                  this->owners.run(request, std::move(done));
              },
              [this](const RequestPtr &request, int status, const std::string &reason) {
                  this->owners.stop(request, status, reason);
              })
    , regions(loop, this->client, this->settings, this->metrics.registry(),
              this->effective.sender().maxResponseBytes)
    , dispatcher({ loop, this->settings, this->owners, this->keyed, this->regions, this->metrics,
                   this->tracer })
    , announcements(this->control, this->settings)
    , callers(loop,
              { std::size_t(this->settings.limits.maxBodyKib) * 1024,
                this->settings.limits.maxConnections },
              [this](std::shared_ptr<HttpExchange> exchange) {
                  this->dispatcher.accept(std::move(exchange));
              })
    , announce(loop, { maxAnnouncementBytes, this->settings.limits.maxConnections },
               [this](const std::shared_ptr<HttpExchange> &exchange) {
                   this->announcements.handle(exchange);
               })
    , admin(loop, { 0, maxAdminConnections },
            [this](const std::shared_ptr<HttpExchange> &exchange) { this->handleAdmin(*exchange); })
{ }

RouteWatcher::Callbacks EntryHost::Private::watchCallbacks()
{
    return { [this] { return this->report(); },
             [this](const WatchReport &report) { this->returnHealthCounts(report); },
             [this](std::uint32_t entryHosts) { this->onTableChanged(entryHosts); },
             [this] { this->owners.onLeaseRegained(); } };
}

WatchReport EntryHost::Private::report()
{
    WatchReport report;
    report.drainedRevision = this->owners.drainedRevision();
    for (const auto &[upstream, upstreamDispatcher] : this->owners.dispatchers().all()) {
        const UpstreamObservation observation = upstreamDispatcher->pool().takeObservation();
        if (observation != UpstreamObservation()) {
            report.health.push_back(
                    { upstream, observation.requests, observation.failures, observation.shed });
        }
    }
    const TimePoint now = this->loop.now();
    if (now - this->lastLoadReport >= loadReportInterval) {
        this->lastLoadReport = now;
        report.shardLoad = this->owners.load().takeShards();
        report.keyLoad = this->owners.load().takeKeys();
    }
    return report;
}

// Adds the counts of a failed report to the next one. Health counts must not be lost with a call.
// Load is a rate, so a lost report only delays its smoothing.
void EntryHost::Private::returnHealthCounts(const WatchReport &report)
{
    for (const WatchReport::Health &health : report.health) {
        if (const auto upstreamDispatcher = this->owners.dispatchers().find(health.upstream)) {
            upstreamDispatcher->pool().returnObservation(
                    { health.requests, health.failures, health.shed });
        }
    }
}

void EntryHost::Private::onTableChanged(std::uint32_t entryHosts)
{
    this->effective = EffectiveSettings(this->settings, this->watcher.cache().table()->settings());
    this->owners.setSettings(this->effective.sender());
    this->dispatcher.setDefaultDeadline(this->effective.defaultDeadline());
    this->owners.onTableChanged(entryHosts);
}

void EntryHost::Private::tick()
{
    this->owners.tick();
    this->dispatcher.tick();
}

std::string EntryHost::Private::unhealthyReason() const
{
    if (this->stopping) {
        return "the entry host stops";
    }
    if (!this->watcher.cache().hasLease(this->loop.now())) {
        return "the entry host has no lease";
    }
    const auto &overrides = this->watcher.cache().table()->settings();
    if (overrides.contains("zone-out." + this->settings.zone)) {
        return "the availability zone is out";
    }
    return {};
}

std::string EntryHost::Private::metricsText()
{
    const RouteTableCache &cache = this->watcher.cache();
    this->metrics.setState({ cache.hasLease(this->loop.now()), cache.table()->revision(),
                             this->owners.drainedRevision(), this->dispatcher.openCount(),
                             this->owners.waitingForOwnerCount(), this->callers.connectionCount(),
                             this->owners.retryCount(), this->control.bytesSent(),
                             this->control.bytesReceived() });
    for (const auto &[upstream, upstreamDispatcher] : this->owners.dispatchers().all()) {
        this->metrics.setUpstream(upstream, upstreamDispatcher->limit().limit(),
                                  upstreamDispatcher->limit().inFlight(),
                                  upstreamDispatcher->queueLength(),
                                  upstreamDispatcher->pool().silentConnections());
    }
    return this->metrics.registry().text();
}

void EntryHost::Private::handleAdmin(HttpExchange &exchange)
{
    if (exchange.path() == "/healthz") {
        const std::string reason = this->unhealthyReason();
        exchange.answer(reason.empty() ? ok : unavailable, { { "content-type", "text/plain" } },
                        (reason.empty() ? "ok" : reason) + "\n");
    } else if (exchange.path() == "/metrics") {
        exchange.answer(ok, { { "content-type", Metrics::contentType } }, this->metricsText());
    } else {
        exchange.answer(notFound, { { "content-type", "text/plain" } },
                        "only /healthz and /metrics are served here\n");
    }
}

void EntryHost::Private::closeListeners()
{
    this->openServers = 2;
    this->callers.shutDown([this] { this->onServerClosed(); });
    this->announce.shutDown([this] { this->onServerClosed(); });
}

void EntryHost::Private::onServerClosed()
{
    if (--this->openServers == 0) {
        this->watcher.endSession([this] { this->stopped(); });
    }
}

EntryHost::EntryHost(EventLoop &loop, Settings settings)
    : d(std::make_unique<Private>(loop, std::move(settings)))
{ }

EntryHost::~EntryHost() = default;

std::string EntryHost::start()
{
    const auto &entry = std::get<EntrySettings>(this->d->settings.role);
    for (const auto &[server, address] : { std::pair(&this->d->callers, entry.callers),
                                           std::pair(&this->d->announce, entry.announce),
                                           std::pair(&this->d->admin, entry.admin) }) {
        std::string failure = server->listen(address);
        if (!failure.empty()) {
            return failure;
        }
    }
    Private *d = this->d.get();
    d->tickTimer = d->loop.callEvery(tickInterval, [d] { d->tick(); });
    d->idleTimer = d->loop.callEvery(idleCheckInterval, [d] {
        d->client.closeIdleLongerThan(d->effective.poolIdleTimeout());
    });
    d->watcher.start();
    return {};
}

void EntryHost::stop(std::function<void()> done)
{
    Private *d = this->d.get();
    if (d->stopping) {
        return;
    }
    d->stopping = true;
    d->stopped = std::move(done);
    Log("entry").info("stops after its open requests have ended");
    d->stopTimer = d->loop.callAfter(d->settings.timing.drainDelay, [d] { d->closeListeners(); });
}

std::uint16_t EntryHost::callersPort() const
{
    return this->d->callers.port();
}

std::uint16_t EntryHost::announcePort() const
{
    return this->d->announce.port();
}

std::uint16_t EntryHost::adminPort() const
{
    return this->d->admin.port();
}

} // namespace cassiaroad
