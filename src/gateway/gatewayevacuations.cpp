#include "gateway/gatewaycore.h"

// Evacuations of availability zones: the part of GatewayCore that stops what goes to their
// upstreams.

namespace cassiaroad {

// Takes the requests that wait for capacity of @p upstream away from it. Returns their number.
std::size_t GatewayCore::redirectWaiting(GatewayUpstream &upstream)
{
    std::size_t count = 0;
    for (const GatewayRequestId id : upstream.admission().takeWaiting()) {
        const auto found = this->capacityWaits.find(id);
        if (found != this->capacityWaits.end()) {
            const std::function<void()> redirect = std::move(found->second.redirect);
            this->capacityWaits.erase(found);
            redirect();
            ++count;
        }
    }
    return count;
}

// Redirects what waits for upstreams of zones whose evacuation has begun since a table with the
// evacuated zones @p before, and closes their idle connections.
void GatewayCore::applyEvacuations(const std::set<std::string> &before)
{
    const std::set<std::string> after = this->routing.table->evacuatedZones;
    this->metrics
            .gauge("cassiaroad_gateway_evacuated_zones",
                   "Availability zones whose upstreams this gateway sends nothing.")
            .Set(static_cast<double>(after.size()));
    for (const EvacuationChange &change : evacuationChanges(before, after)) {
        this->applyEvacuation(change);
    }
}

void GatewayCore::applyEvacuation(const EvacuationChange &change)
{
    std::int64_t upstreamCount = 0;
    std::size_t redirected = 0;
    for (const auto &[id, upstream] : this->upstreams) {
        if (upstream->upstream().zone != change.zone) {
            continue;
        }
        ++upstreamCount;
        if (change.started) {
            this->httpClient.trimIdle(upstream->upstream().address, 0);
            redirected += this->redirectWaiting(*upstream);
        } else {
            upstream->distrustConnections(this->loop.now()); // it may have become cold
        }
    }
    this->metrics
            .counter("cassiaroad_gateway_evacuation_redirects_total",
                     "Waiting requests that an evacuation has taken away from an upstream.")
            .Increment(static_cast<double>(redirected));
    this->log.write({ "evacuation",
                      Event::Weight::Always,
                      { { "zone", change.zone },
                        { "started", change.started },
                        { "upstreams", upstreamCount },
                        { "requests", static_cast<std::int64_t>(redirected) } } });
}

} // namespace cassiaroad
