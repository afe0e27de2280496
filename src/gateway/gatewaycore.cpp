#include "gateway/gatewaycore.h"

#include "gateway/spread.h"
#include "process/textdelta.h"
#include "process/textpack.h"
#include "version/routingchange.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

// Upstreams close idle connections after ten seconds; the gateway closes its own well before that.
constexpr Milliseconds connectionIdleTimeout { 4000 };
constexpr Milliseconds idleCheckInterval { 500 };
// Idle connections to one upstream that are kept open, beyond those in use.
constexpr std::size_t maxIdleConnections = 4;
constexpr std::size_t maxUnlistedUpstreams = 1024;
constexpr Milliseconds clockResolution { 1 };
// Returns the first of @p ids, separated by spaces, for a line of the log.
std::string firstNames(const std::vector<std::string> &ids)
{
    constexpr std::size_t maxNames = 8;
    std::string names;
    for (std::size_t i = 0; i < std::min(ids.size(), maxNames); ++i) {
        names += (i == 0 ? "" : " ") + ids[i];
    }
    return names;
}

} // namespace

GatewayCore::GatewayCore(EventLoop &loop, const SiteSettings &settings, const ExternalCodec &codec,
                         Metrics &metrics, EventLog &log)
    : loop(loop)
    , settings(settings)
    , codec(codec)
    , metrics(metrics)
    , log(log)
    , httpClient(loop)
    , cold(loop, settings.host)
    , crashes(settings.host)
    , random(XXH3_64bits(settings.host.data(), settings.host.size()))
    , subsets(settings.zone, settings.regions)
{
    this->idleTimer = loop.callEvery(idleCheckInterval, [this] {
        this->httpClient.closeIdleLongerThan(connectionIdleTimeout);
        this->subsets.updateSizes(this->loop.now());
        for (const auto &[id, upstream] : this->upstreams) {
            this->httpClient.trimIdle(upstream->upstream().address,
                                      upstream->isEvacuated() ? 0 : maxIdleConnections);
        }
    });
}

void GatewayCore::update(const GatewayUpdate &update, TimePoint confirmedAt)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::Updates);
    const bool hasDecidedTrial = this->crashes.applyUpdate(update, this->loop.now());
    this->apply(update, confirmedAt, hasDecidedTrial);
}

void GatewayCore::lateUpdate(const GatewayUpdate &update, TimePoint confirmedAt)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::Updates);
    const bool hasDecidedTrial = this->crashes.applyLateUpdate(update, this->loop.now());
    this->apply(update, confirmedAt, hasDecidedTrial);
}

void GatewayCore::apply(const GatewayUpdate &update, TimePoint confirmedAt, bool hasDecidedTrial)
{
    if (update.document && update.version > this->routing.version()) {
        this->updateConfiguration(update);
    }
    // A late update does not bring back what an earlier one has replaced.
    if (confirmedAt >= this->routing.gatewaysConfirmedAt) {
        this->routing.trafficShare = update.trafficShare;
        this->routing.gateways = update.gateways;
        this->routing.gatewaysConfirmedAt = confirmedAt;
        if (update.placement) {
            this->subsets.setPlacement(*update.placement);
        }
    }
    if (this->routing.version() >= update.version) {
        this->routing.confirmedAt = std::max(this->routing.confirmedAt, confirmedAt);
    }
    const std::set<std::string> evacuatedBefore
            = this->routing.table ? this->routing.table->evacuatedZones : std::set<std::string>();
    // The table of a leader of an earlier term has a lower tag and is ignored.
    const bool hasNewTable = this->updateRoutingTable(update);
    if (this->routing.tableTag == update.tableTag) {
        const TimePoint tableConfirmedAt = confirmedAt - update.tableAge;
        // A late update may confirm a table at an earlier time than the previous one did.
        const TimePoint known = hasNewTable ? tableConfirmedAt : this->routing.tableConfirmedAt;
        this->routing.tableConfirmedAt = std::max(known, tableConfirmedAt);
    }
    for (const auto &[id, upstream] : this->upstreams) {
        upstream->setShare(this->routing.trafficShare, spreadOf(this->settings.host + id));
    }
    this->cold.setGateways(this->routing.gateways);
    this->applyPaces();
    for (auto &[service, budget] : this->budgets) {
        budget.setGateways(update.gateways, this->routing.gatewaysConfirmedAt);
    }
    if (hasNewTable) {
        this->applyEvacuations(evacuatedBefore);
    }
    if (hasNewTable || hasDecidedTrial) {
        this->resumeTableWaits();
    }
}

// Applies the update's change to the routing table. Returns whether the table has changed.
bool GatewayCore::updateRoutingTable(const GatewayUpdate &update)
{
    const bool isCompatible = update.fromTag == 0 || update.fromTag == this->routing.tableTag;
    if (!update.change || !isCompatible || update.tableTag <= this->routing.tableTag) {
        return false;
    }
    const std::optional<RoutingChange> change = decodeRoutingChange(*update.change);
    if (!change) {
        this->log.write({ "table_unreadable", Event::Weight::Important, {} });
        return false;
    }
    const bool isFullTable = update.fromTag == 0 || !this->routing.table;
    const RoutingTable table
            = applyChange(isFullTable ? RoutingTable() : *this->routing.table, *change);
    this->logWarming(table, update.tableTag);
    this->setRoutingTable(table);
    this->routing.tableTag = update.tableTag;
    return true;
}

// Returns the text of the configuration in the update, or nothing if it is a delta to another one.
std::optional<std::string> GatewayCore::fullDocument(const GatewayUpdate &update) const
{
    if (update.documentBase == 0) {
        return unpackText(*update.document);
    }
    if (update.documentBase != this->routing.version()) {
        return std::nullopt;
    }
    return applyTextDelta(unpackText(this->document).value_or(""), *update.document);
}

void GatewayCore::updateConfiguration(const GatewayUpdate &update)
{
    const std::optional<std::string> text = this->fullDocument(update);
    this->needsFullDocument = !text.has_value();
    if (!text) {
        this->log.write({ "configuration_unreadable",
                          Event::Weight::Always,
                          { { "reason", std::string("a change does not fit") } } });
        return;
    }
    auto decoded = this->codec.decodeConfiguration(*text);
    if (const auto *error = std::get_if<ConfigurationError>(&decoded)) {
        this->log.write({ "configuration_unreadable",
                          Event::Weight::Always,
                          { { "reason", error->reason } } });
        return;
    }
    this->document = update.documentBase == 0 ? *update.document : packText(*text);
    auto &configuration = std::get<SiteConfiguration>(decoded);
    this->log.write({ "configuration",
                      Event::Weight::Always,
                      { { "version", std::int64_t(configuration.version) },
                        { "routes", std::int64_t(configuration.routes.size()) } } });
    this->routing.active = std::make_shared<const ActiveConfiguration>(std::move(configuration));
}

// Also updates the upstreams; those that are still in the table keep their state. What the table
// tells of an upstream for the first time has happened since the leader confirmed the previous one.
void GatewayCore::setRoutingTable(const RoutingTable &table)
{
    this->routing.table = std::make_shared<const RoutingTable>(table);
    std::map<std::string, std::shared_ptr<GatewayUpstream>> listed;
    std::vector<std::string> leaving;
    for (const RoutedUpstream &routed : table.upstreams) {
        std::shared_ptr<GatewayUpstream> upstream = this->upstreamOf(routed);
        const bool wasLeaving = upstream->isLeaving();
        upstream->setRouted(routed, this->routing.tableConfirmedAt);
        if (upstream->isLeaving() && !wasLeaving) {
            leaving.push_back(routed.upstream.incarnation.id);
        }
        upstream->setEvacuated(table.evacuatedZones.contains(routed.upstream.zone));
        listed.emplace(routed.upstream.incarnation.id, std::move(upstream));
    }
    for (const auto &[id, upstream] : this->upstreams) {
        if (!listed.contains(id) || listed.at(id) != upstream) {
            this->httpClient.trimIdle(upstream->upstream().address, 0);
            this->keepUnlisted(upstream);
        }
    }
    this->upstreams = std::move(listed);
    this->subsets.invalidate();
    this->logLeaving(leaving);
}

// Logs which known upstreams the next table marks as warming up, or no longer does. A tag of a
// later term with upstreams that no longer warm up tells that its leader may not know of their
// warm-up.
void GatewayCore::logWarming(const RoutingTable &next, std::uint64_t nextTag)
{
    std::vector<std::string> began;
    std::vector<std::string> ended;
    for (const RoutedUpstream &routed : next.upstreams) {
        const std::shared_ptr<GatewayUpstream> known
                = this->upstream(routed.upstream.incarnation.id);
        const bool wasWarming = known && known->isWarming();
        if (routed.warming != wasWarming) {
            (routed.warming ? began : ended).push_back(routed.upstream.incarnation.id);
        }
    }
    if (began.empty() && ended.empty()) {
        return;
    }
    this->log.write({ "upstreams_warming",
                      Event::Weight::Important,
                      { { "began", static_cast<std::int64_t>(began.size()) },
                        { "began_upstreams", firstNames(began) },
                        { "ended", static_cast<std::int64_t>(ended.size()) },
                        { "ended_upstreams", firstNames(ended) },
                        { "previous_table", static_cast<std::int64_t>(this->routing.tableTag) },
                        { "table", static_cast<std::int64_t>(nextTag) } } });
}

// Logs which upstreams leave by the present table and not by the previous one, and how long ago the
// leader confirmed that one.
void GatewayCore::logLeaving(const std::vector<std::string> &ids)
{
    if (ids.empty()) {
        return;
    }
    const Milliseconds age = this->loop.now() - this->routing.tableConfirmedAt;
    this->log.write({ "upstreams_leave",
                      Event::Weight::Important,
                      { { "count", static_cast<std::int64_t>(ids.size()) },
                        { "upstreams", firstNames(ids) },
                        { "previous_table_age_ms", age.count } } });
}

// Returns the state of an upstream of the next routing table; a new one if its incarnation is not
// known.
std::shared_ptr<GatewayUpstream> GatewayCore::upstreamOf(const RoutedUpstream &routed)
{
    const UpstreamIncarnation &incarnation = routed.upstream.incarnation;
    const auto known = this->upstreams.find(incarnation.id);
    if (known != this->upstreams.end() && known->second->upstream().incarnation == incarnation) {
        return known->second;
    }
    const auto returned = this->unlisted.find(incarnation);
    if (returned != this->unlisted.end()) {
        std::shared_ptr<GatewayUpstream> upstream = std::move(returned->second);
        this->unlisted.erase(returned);
        return upstream;
    }
    const double phase = spreadOf(this->settings.host + '/' + incarnation.id + '/'
                                  + std::to_string(incarnation.born));
    return std::make_shared<GatewayUpstream>(routed, this->distanceTo(routed.upstream.zone), phase);
}

// Keeps an upstream that the next routing table does not list if it has said something that still
// holds when a later table lists the same incarnation again.
void GatewayCore::keepUnlisted(const std::shared_ptr<GatewayUpstream> &upstream)
{
    const TimePoint now = this->loop.now();
    if (!upstream->hasNotice(now)) {
        return;
    }
    std::erase_if(this->unlisted,
                  [now](const auto &entry) { return !entry.second->hasNotice(now); });
    if (this->unlisted.size() >= maxUnlistedUpstreams) {
        this->unlisted.erase(this->unlisted.begin()); // the incarnation that was born first
    }
    this->unlisted.emplace(upstream->upstream().incarnation, upstream);
}

Distance GatewayCore::distanceTo(const std::string &zone) const
{
    if (zone == this->settings.zone) {
        return Distance::SameZone;
    }
    const auto own = this->settings.regions.find(this->settings.zone);
    const auto other = this->settings.regions.find(zone);
    const bool sameRegion = own != this->settings.regions.end()
                            && other != this->settings.regions.end()
                            && own->second == other->second;
    return sameRegion ? Distance::SameRegion : Distance::OtherRegion;
}

GatewayReport GatewayCore::takeReport()
{
    GatewayReport report;
    report.gateway = this->settings.host;
    report.zone = this->settings.zone;
    report.tableTag = this->routing.tableTag;
    report.version = this->needsFullDocument ? 0 : this->routing.version();
    report.gateways = this->routing.gateways;
    report.placementTag = tagOf(this->subsets.placement());
    report.requests = std::exchange(this->requestCount, 0);
    for (const auto &[key, requests] : std::exchange(this->keyRequests, {})) {
        report.keys.push_back({ key.first, key.second, requests });
    }
    this->crashes.fillReport(report, this->loop.now());
    for (const auto &[id, upstream] : this->upstreams) {
        if (upstream->isLeavingToReport()) {
            report.leaving.push_back(upstream->upstream().incarnation);
        }
        UpstreamTiming timing = upstream->takeTiming();
        if (timing.requests > 0) {
            report.timings.push_back(std::move(timing));
        }
    }
    return report;
}

std::shared_ptr<GatewayUpstream> GatewayCore::upstream(const std::string &id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : found->second;
}

SiteRetryBudget &GatewayCore::budget(const std::string &service)
{
    const SiteBounds &bounds = this->settings.bounds;
    const auto [entry, isNew] = this->budgets.try_emplace(service, bounds.retryShare,
                                                          bounds.retrySlack, bounds.retryWindow);
    if (isNew) {
        entry->second.setGateways(this->routing.gateways, this->routing.gatewaysConfirmedAt);
    }
    return entry->second;
}

void GatewayCore::countRequest(const std::string &service, const HomeRegions &homes,
                               std::optional<KeyNumber> key)
{
    ++this->requestCount;
    this->budget(service).countRequest(this->loop.now());
    if (!key) {
        this->subsets.countRequest(service, homes);
    }
    if (key) {
        ++this->keyRequests[{ service, *key }];
    }
}

std::uint64_t GatewayCore::waitForTableChange(std::function<void()> resume)
{
    this->tableWaits.emplace(++this->lastTableWait, std::move(resume));
    return this->lastTableWait;
}

void GatewayCore::reportSoon() const
{
    if (this->reportHandler) {
        this->reportHandler();
    }
}

void GatewayCore::resumeTableWaits()
{
    for (const auto &[number, resume] : std::exchange(this->tableWaits, {})) {
        resume();
    }
}

void GatewayCore::waitForCapacity(GatewayRequestId id, CapacityWait wait)
{
    this->capacityWaits.emplace(id, std::move(wait));
}

void GatewayCore::stop(Milliseconds refuseNew)
{
    this->refusalStart = this->loop.now() + refuseNew;
}

bool GatewayCore::refusesNewRequests() const
{
    return this->refusalStart && this->loop.now() >= *this->refusalStart;
}

void GatewayCore::addOpenRequest(GatewayRequestId id, std::function<void(StopStage)> onStop)
{
    this->openRequests.emplace(id, std::move(onStop));
}

void GatewayCore::enterStopStage(StopStage stage)
{
    // A call may end other requests or let them start at an upstream, so each request is looked up
    // again in its turn.
    std::vector<GatewayRequestId> ids;
    for (const auto &[id, onStop] : this->openRequests) {
        ids.push_back(id);
    }
    for (const GatewayRequestId id : ids) {
        const auto found = this->openRequests.find(id);
        if (found != this->openRequests.end()) {
            const std::function<void(StopStage)> onStop = found->second;
            onStop(stage);
        }
    }
}

void GatewayCore::refuseLateRequests(GatewayUpstream &upstream)
{
    for (const GatewayRequestId id : upstream.admission().takeLate(this->loop.now())) {
        const auto found = this->capacityWaits.find(id);
        if (found != this->capacityWaits.end()) {
            const std::function<void()> refuse = std::move(found->second.refuse);
            this->capacityWaits.erase(found);
            refuse();
        }
    }
}

void GatewayCore::startWaitingRequests(GatewayUpstream &upstream)
{
    this->refuseLateRequests(upstream);
    while (const std::optional<GatewayRequestId> id = upstream.admission().next()) {
        const auto found = this->capacityWaits.find(*id);
        if (found == this->capacityWaits.end()) {
            upstream.admission().finishWithoutResponse();
            continue;
        }
        const std::function<void()> start = std::move(found->second.start);
        this->capacityWaits.erase(found);
        start();
    }
}

void GatewayCore::recordNotice(const std::shared_ptr<GatewayUpstream> &upstream,
                               const UpstreamNotice &notice)
{
    const bool isNewlyLeaving = notice.isLeaving && !upstream->hasSaidThatItLeaves();
    if (!isNewlyLeaving && !notice.pause) {
        return;
    }
    this->log.write({ "upstream_notice",
                      Event::Weight::Important,
                      { { "upstream", upstream->upstream().incarnation.id },
                        { "leaving", notice.isLeaving },
                        { "pause_ms", notice.pause ? notice.pause->count : std::int64_t(0) } } });
    if (notice.isLeaving) {
        upstream->recordLeaving(this->loop.now());
    }
    if (notice.pause) {
        // The time of the response is rounded down, and the pause may not end early.
        upstream->recordPause(*notice.pause + clockResolution, this->loop.now());
    }
    if (this->upstream(upstream->upstream().incarnation.id) != upstream) {
        this->keepUnlisted(upstream); // the response came after a table without it
    }
}

} // namespace cassiaroad
