#include "gateway/gatewaycore.h"

#include "gateway/spread.h"

#include <algorithm>

// Choice of upstreams for requests that no key binds to one: a part of GatewayCore.

namespace cassiaroad {

namespace {

const char *sourceName(ChoiceSource source)
{
    switch (source) {
    case ChoiceSource::Subset:
        return "subset";
    case ChoiceSource::Spillover:
        return "spillover";
    case ChoiceSource::Sample:
        return "sample";
    }
    return "unknown";
}

} // namespace

bool GatewayCore::isAtHome(const GatewayUpstream &upstream, const HomeRegions &homes) const
{
    const auto region = this->settings.regions.find(upstream.upstream().zone);
    return homes.allows(region == this->settings.regions.end() ? std::string() : region->second);
}

bool GatewayCore::hasUpstream(const std::string &service, const HomeRegions &homes) const
{
    return !this->usableUpstreams(service, homes, {}).empty();
}

// Returns the upstreams of @p service at home that may get new requests, also those that have asked
// for a pause.
GatewayUpstreams GatewayCore::usableUpstreams(const std::string &service, const HomeRegions &homes,
                                              const std::vector<std::string> &tried) const
{
    GatewayUpstreams usable;
    for (const auto &[id, upstream] : this->upstreams) {
        const SiteUpstream &known = upstream->upstream();
        if (known.service == service && upstream->mayBeGivenWork()
            && this->isAtHome(*upstream, homes)
            && std::find(tried.begin(), tried.end(), id) == tried.end()) {
            usable.push_back(upstream);
        }
    }
    return usable;
}

std::shared_ptr<GatewayUpstream> GatewayCore::nextUpstream(
        const std::string &service, const HomeRegions &homes,
        const std::vector<std::string> &tried) const
{
    const TimePoint now = this->loop.now();
    GatewayUpstreams waiting = this->usableUpstreams(service, homes, tried);
    std::erase_if(waiting, [this, now](const auto &upstream) {
        return upstream->timeLeft(now) == Milliseconds {} && this->cold.admits(*upstream);
    });
    // Of several cold ones, gateways ask for permits of different ones.
    const auto order = [this](const std::shared_ptr<GatewayUpstream> &upstream) {
        const std::string &id = upstream->upstream().incarnation.id;
        return std::pair(this->startsAfter(*upstream), spreadOf(this->settings.host + id));
    };
    const auto first
            = std::min_element(waiting.begin(), waiting.end(),
                               [&](const auto &a, const auto &b) { return order(a) < order(b); });
    return first == waiting.end() ? nullptr : *first;
}

std::shared_ptr<GatewayUpstream> GatewayCore::chooseUpstream(const std::string &service,
                                                             const HomeRegions &homes,
                                                             const std::vector<std::string> &tried)
{
    return this->chooseAdmitted(service, homes, this->readyUpstreams(service, homes, tried));
}

GatewayUpstreams GatewayCore::readyUpstreams(const std::string &service, const HomeRegions &homes,
                                             const std::vector<std::string> &tried) const
{
    GatewayUpstreams ready = this->usableUpstreams(service, homes, tried);
    const TimePoint now = this->loop.now();
    std::erase_if(ready, [this, now](const auto &upstream) {
        return upstream->isPaused(now) || !this->cold.admits(*upstream)
               || (upstream->pace().limit(now) != UpstreamPace::Limit::Recovering
                   && !upstream->pace().allows(now));
    });
    return ready;
}

GatewayUpstreams GatewayCore::upstreamsOf(const std::string &service) const
{
    GatewayUpstreams found;
    for (const auto &[id, upstream] : this->upstreams) {
        if (upstream->upstream().service == service) {
            found.push_back(upstream);
        }
    }
    return found;
}

const UpstreamSubset *GatewayCore::subsetOf(const std::string &service, const HomeRegions &homes)
{
    if (comparesAllUpstreams(this->routing.gateways) || !this->subsets.placement()) {
        return nullptr;
    }
    return &this->subsets.find(service, homes, this->upstreams);
}

// Chooses among @p candidates, whatever the share of a recovering one admits.
std::shared_ptr<GatewayUpstream> GatewayCore::chooseAmong(const std::string &service,
                                                          const HomeRegions &homes,
                                                          const GatewayUpstreams &candidates)
{
    const UpstreamSubset *subset = this->subsetOf(service, homes);
    if (subset == nullptr) {
        return chooseBySample(candidates, this->routing.gateways, this->loop.now(), this->random);
    }
    const UpstreamChoice choice = chooseFromSubset(*subset, candidates, this->routing.gateways,
                                                   this->loop.now(), this->random);
    this->countChoice(service, choice.source, subset->members().size());
    return choice.upstream;
}

void GatewayCore::countChoice(const std::string &service, ChoiceSource source,
                              std::size_t subsetSize)
{
    this->metrics
            .counter("cassiaroad_gateway_choices_total",
                     "Choices of an upstream without a key, by service and where it was found.",
                     { { "service", service }, { "source", sourceName(source) } })
            .Increment();
    this->metrics
            .gauge("cassiaroad_gateway_subset_upstreams",
                   "Upstreams of the service in the subset of this gateway.",
                   { { "service", service } })
            .Set(static_cast<double>(subsetSize));
}

const std::string &GatewayCore::chooseService(const SiteRoute &route)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    return this->rotations[route.host + route.pathPrefix].next(route.services);
}

} // namespace cassiaroad
