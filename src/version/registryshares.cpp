#include "version/registrymanager.h"

namespace cassiaroad {

PermitReply RegistryManager::grantPermits(const PermitRequest &request, TimePoint now)
{
    PermitReply reply;
    if (!this->configuration) {
        return reply;
    }
    for (const PermitAsk &ask : request.asks) {
        const auto service = this->configuration->services.find(ask.service);
        if (service == this->configuration->services.end()) {
            continue;
        }
        // A gateway with an older configuration may ask though no rate is stated any more.
        const double statedRate = service->second.coldRate;
        reply.grants.push_back(statedRate > 0.0 ? this->permits.grant(ask, statedRate, now)
                                                : PermitGrant { ask.address, ask.count, {} });
    }
    return reply;
}

// Returns the upstreams of services without keys that do not state what a cold one can handle. None
// on sites with few gateways, where each finds the pace of an upstream by itself: with a share of
// the leader in addition, new upstreams get no requests for seconds.
std::vector<RecoveryCandidate> RegistryManager::recoveryCandidates(TimePoint now) const
{
    std::vector<RecoveryCandidate> candidates;
    if (!this->configuration || this->gatewayCount(now) <= gatewaysWithFullKnowledge) {
        return candidates;
    }
    for (const auto &[id, upstream] : this->state.upstreams()) {
        const auto service = this->configuration->services.find(upstream.service);
        if (service != this->configuration->services.end() && !service->second.keyed
            && service->second.coldRate <= 0.0) {
            candidates.push_back({ upstream.incarnation, upstream.service,
                                   this->monitor.isSilent(upstream.incarnation, now) });
        }
    }
    return candidates;
}

} // namespace cassiaroad
