#include "gateway/routepreview.h"

#include "gateway/clientrequest.h"
#include "gateway/upstreamselection.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace cassiaroad {

namespace {

/** Tells what a gateway does with a request after the selection of its upstream. */
struct VerdictVisitor
{
    ServicePreview &preview;
    TimePoint now;

    void operator()(const SelectedUpstream &selected) const
    {
        const UpstreamAdmission &admission = selected.upstream->admission();
        if (admission.hasCapacity()) {
            this->set(RouteVerdict::Send, "owner of the key");
            return;
        }
        this->set(RouteVerdict::Wait, "owner of the key is busy, "
                                              + std::to_string(admission.waitingCount())
                                              + " requests wait");
    }
    void operator()(const KeyWithoutOwner &result) const
    {
        this->set(RouteVerdict::Wait, result.reason);
    }
    void operator()(const PausedUpstream &paused) const
    {
        this->set(RouteVerdict::Wait, std::string(paused.reason) + " of "
                                              + std::to_string(paused.timeLeft.count) + " ms");
    }
    void operator()(const PacedUpstream &paced) const
    {
        const UpstreamPace &pace = paced.upstream->pace();
        this->set(pace.isShared(this->now) ? RouteVerdict::Refuse : RouteVerdict::Wait,
                  paced.reason);
    }
    void operator()(const ColdUpstream &cold) const { this->set(RouteVerdict::Wait, cold.reason); }
    template <typename Result>
    void operator()(const Result &result) const
    {
        this->set(RouteVerdict::Refuse, result.reason);
    }

    void set(RouteVerdict verdict, std::string reason) const
    {
        this->preview.verdict = verdict;
        this->preview.reason = std::move(reason);
    }
};

// Returns "ready", or why @p upstream would not get the request. Reasons that last come first.
std::string stateOf(const GatewayCore &core, const GatewayUpstream &upstream,
                    const UpstreamQuery &query)
{
    const TimePoint now = core.now();
    if (upstream.isReplaced()) {
        return "replaced";
    }
    if (upstream.isEvacuated()) {
        return "evacuated";
    }
    if (!core.isAtHome(upstream, query.homes)) {
        return "not in the home regions";
    }
    if (query.key ? core.hasLeft(upstream) : !upstream.mayBeGivenWork()) {
        return upstream.isLeaving() ? "leaving" : "not ready";
    }
    if (upstream.isPaused(now)) {
        return "paused";
    }
    if (!upstream.pace().allows(now)) {
        return limitName(upstream.pace().limit(now));
    }
    if (!core.coldAdmission().admits(upstream)) {
        return "cold";
    }
    return upstream.isSuspected(now) ? "suspected" : "ready";
}

CandidatePreview previewCandidate(const GatewayCore &core, const GatewayUpstream &upstream,
                                  const UpstreamQuery &query, double usualMilliseconds)
{
    CandidatePreview candidate;
    candidate.upstream = upstream.upstream().incarnation.id;
    candidate.zone = upstream.upstream().zone;
    candidate.state = stateOf(core, upstream, query);
    candidate.cost = upstream.cost(core.now(), usualMilliseconds);
    candidate.waiting = upstream.admission().waitingCount();
    candidate.startsAfter = core.startsAfter(upstream);
    candidate.admitted = upstream.admitted();
    return candidate;
}

void previewOwner(const GatewayCore &core, const UpstreamQuery &query, ServicePreview &preview)
{
    std::visit(VerdictVisitor { preview, core.now() }, selectOwner(core, query));
    const RoutedRange *range = core.view().table->find(query.service, *query.key);
    const auto owner = range == nullptr ? nullptr : core.upstream(range->upstream);
    if (!owner) {
        return;
    }
    preview.candidates.push_back(
            previewCandidate(core, *owner, query, GatewayUpstream::defaultServiceMilliseconds));
    if (range->phase != RangePhase::Owned) {
        preview.candidates.back().state
                = range->phase == RangePhase::Releasing ? "releasing the key" : "not owner yet";
    }
}

void markSubset(const UpstreamSubset &subset, std::vector<CandidatePreview> &candidates)
{
    for (CandidatePreview &candidate : candidates) {
        candidate.isInSubset = std::any_of(
                subset.members().begin(), subset.members().end(),
                [&](const SubsetMember &member) { return member.id == candidate.upstream; });
    }
}

void previewChoice(GatewayCore &core, const UpstreamQuery &query, ServicePreview &preview)
{
    const GatewayUpstreams all = core.upstreamsOf(query.service);
    const double usual = usualMilliseconds(all);
    for (const auto &upstream : all) {
        preview.candidates.push_back(previewCandidate(core, *upstream, query, usual));
    }
    std::stable_sort(preview.candidates.begin(), preview.candidates.end(),
                     [](const auto &a, const auto &b) { return a.cost < b.cost; });
    const UpstreamSubset *subset = core.subsetOf(query.service, query.homes);
    if (subset != nullptr) {
        markSubset(*subset, preview.candidates);
    }
    const GatewayUpstreams ready = core.readyUpstreams(query.service, query.homes, query.tried);
    if (ready.empty()) {
        std::visit(VerdictVisitor { preview, core.now() }, selectWithoutChoice(core, query));
        return;
    }
    const bool hasCapacity = std::any_of(ready.begin(), ready.end(), [](const auto &upstream) {
        return upstream->admission().hasCapacity();
    });
    preview.verdict = hasCapacity ? RouteVerdict::Send : RouteVerdict::Wait;
    preview.reason = !hasCapacity        ? "all upstreams that are ready are busy"
                     : subset != nullptr ? "one of the subset, or another one if these are busy"
                                         : "the one with the lowest cost of those sampled";
}

ServicePreview previewService(GatewayCore &core, const RouteMatch &match,
                              const WeightedService &weighted, std::optional<KeyNumber> key)
{
    ServicePreview preview { weighted.service, weighted.weight, RouteVerdict::Refuse, {}, {} };
    const bool isKeyed = match.active->configuration.services.at(weighted.service).keyed;
    const std::vector<std::string> tried;
    const UpstreamQuery query { weighted.service, isKeyed ? key : std::nullopt, match.route->homes,
                                tried };
    if (isKeyed && (!key || *key > lastKey)) {
        preview.reason = "no key";
    } else if (!core.view().table) {
        preview.reason = NoRoutingTable::reason;
    } else if (isKeyed) {
        previewOwner(core, query, preview);
    } else {
        previewChoice(core, query, preview);
    }
    return preview;
}

nlohmann::json encode(const CandidatePreview &candidate)
{
    return { { "upstream", candidate.upstream },
             { "zone", candidate.zone },
             { "state", candidate.state },
             { "cost", candidate.cost },
             { "waiting", candidate.waiting },
             { "starts_after_ms", candidate.startsAfter.count },
             { "admitted", candidate.admitted ? nlohmann::json(*candidate.admitted) : nullptr },
             { "subset", candidate.isInSubset } };
}

nlohmann::json encode(const ServicePreview &service)
{
    nlohmann::json candidates = nlohmann::json::array();
    for (const CandidatePreview &candidate : service.candidates) {
        candidates.push_back(encode(candidate));
    }
    return { { "service", service.service },
             { "weight", service.weight },
             { "verdict", verdictName(service.verdict) },
             { "reason", service.reason },
             { "candidates", std::move(candidates) } };
}

} // namespace

RoutePreview previewRoute(GatewayCore &core, const RouteQuestion &question)
{
    RoutePreview preview;
    preview.version = core.view().version();
    const auto found = matchRoute(core, question.host, question.path);
    if (const auto *rejection = std::get_if<RoutingRejection>(&found)) {
        preview.reason = rejection->reason;
        return preview;
    }
    const auto &match = std::get<RouteMatch>(found);
    preview.route = match.route->host + match.route->pathPrefix;
    for (const WeightedService &weighted : match.route->services) {
        preview.services.push_back(previewService(core, match, weighted, question.key));
    }
    return preview;
}

const char *verdictName(RouteVerdict verdict)
{
    switch (verdict) {
    case RouteVerdict::Send:
        return "send";
    case RouteVerdict::Wait:
        return "wait";
    case RouteVerdict::Refuse:
        return "refuse";
    }
    return "unknown";
}

std::string toJson(const RoutePreview &preview)
{
    nlohmann::json services = nlohmann::json::array();
    for (const ServicePreview &service : preview.services) {
        services.push_back(encode(service));
    }
    const nlohmann::json document { { "configuration", preview.version },
                                    { "route", preview.route },
                                    { "reason", preview.reason },
                                    { "services", std::move(services) } };
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace cassiaroad
