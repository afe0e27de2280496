#include "gateway/upstreamselection.h"

namespace cassiaroad {

namespace {

// Returns the owner of the key, or null if the key has no owner that can be used.
std::shared_ptr<GatewayUpstream> findOwner(const GatewayCore &core, const std::string &service,
                                           KeyNumber key)
{
    const RoutedRange *range = core.view().table->find(service, key);
    if (range == nullptr || range->phase != RangePhase::Owned) {
        return nullptr;
    }
    std::shared_ptr<GatewayUpstream> owner = core.upstream(range->upstream);
    const bool isUsable
            = owner && !owner->isReplaced() && !owner->isEvacuated() && !core.hasLeft(*owner);
    return isUsable ? owner : nullptr;
}

UpstreamSelection selectOwner(const GatewayCore &core, const UpstreamQuery &query)
{
    std::shared_ptr<GatewayUpstream> owner = findOwner(core, query.service, *query.key);
    if (!owner && core.view().table->isEvacuated(query.service)) {
        return ServiceEvacuated {};
    }
    if (!owner) {
        return KeyWithoutOwner {};
    }
    const TimePoint now = core.now();
    if (owner->isPaused(now) && owner->isLeaving()) {
        return KeyWithoutOwner {}; // its keys move sooner than a usual pause ends
    }
    if (owner->isPaused(now)) {
        return PausedUpstream { owner->pauseLeft(now) };
    }
    if (owner->isSuspected(now) && !query.acceptsSuspected) {
        return SuspectedOwner {};
    }
    return SelectedUpstream { std::move(owner) };
}

UpstreamSelection selectAny(GatewayCore &core, const UpstreamQuery &query)
{
    if (auto chosen = core.chooseUpstream(query.service, query.tried)) {
        return SelectedUpstream { std::move(chosen) };
    }
    if (const auto pause = core.shortestPause(query.service, query.tried)) {
        return PausedUpstream { *pause };
    }
    if (core.view().table->isEvacuated(query.service)) {
        return ServiceEvacuated {};
    }
    return NoUpstream {};
}

} // namespace

UpstreamSelection selectUpstream(GatewayCore &core, const UpstreamQuery &query)
{
    if (!core.view().table) {
        return NoRoutingTable {};
    }
    return query.key ? selectOwner(core, query) : selectAny(core, query);
}

bool maySendTo(const GatewayCore &core, const std::shared_ptr<GatewayUpstream> &upstream,
               const std::string &service, std::optional<KeyNumber> key)
{
    if (upstream->isPaused(core.now())) {
        return false;
    }
    if (key) {
        return findOwner(core, service, *key) == upstream;
    }
    return upstream->mayBeGivenWork();
}

} // namespace cassiaroad
