#include "gateway/upstreamselection.h"

namespace cassiaroad {

namespace {

// Returns the owner of the key, or null if the key has no owner that can be used.
std::shared_ptr<GatewayUpstream> findOwner(const GatewayCore &core, const UpstreamQuery &query)
{
    const RoutedRange *range = core.view().table->find(query.service, *query.key);
    if (range == nullptr || range->phase != RangePhase::Owned) {
        return nullptr;
    }
    std::shared_ptr<GatewayUpstream> owner = core.upstream(range->upstream);
    const bool isUsable = owner && !owner->isReplaced() && !owner->isEvacuated()
                          && !core.hasLeft(*owner) && core.isAtHome(*owner, query.homes);
    return isUsable ? owner : nullptr;
}

// Whether the home regions of the request, if it has any, are without an upstream for it.
bool lacksUpstreamAtHome(const GatewayCore &core, const UpstreamQuery &query)
{
    return query.homes.isRestricted() && !core.hasUpstream(query.service, query.homes);
}

UpstreamSelection selectAny(GatewayCore &core, const UpstreamQuery &query)
{
    if (auto chosen = core.chooseUpstream(query.service, query.homes, query.tried)) {
        return SelectedUpstream { std::move(chosen) };
    }
    return selectWithoutChoice(core, query);
}

} // namespace

UpstreamSelection selectOwner(const GatewayCore &core, const UpstreamQuery &query)
{
    std::shared_ptr<GatewayUpstream> owner = findOwner(core, query);
    if (!owner && core.view().table->isEvacuated(query.service)) {
        return ServiceEvacuated {};
    }
    if (!owner && lacksUpstreamAtHome(core, query)) {
        return NoUpstreamAtHome {};
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
    if (!owner->pace().allows(now)) {
        return PacedUpstream { std::move(owner) };
    }
    if (!core.coldAdmission().admits(*owner)) {
        return ColdUpstream { std::move(owner) };
    }
    return SelectedUpstream { std::move(owner) };
}

UpstreamSelection selectWithoutChoice(const GatewayCore &core, const UpstreamQuery &query)
{
    if (auto next = core.nextUpstream(query.service, query.homes, query.tried)) {
        const Milliseconds pause = next->pauseLeft(core.now());
        if (pause > Milliseconds {}) {
            return PausedUpstream { pause };
        }
        return core.coldAdmission().admits(*next) ? UpstreamSelection(PacedUpstream { next })
                                                  : ColdUpstream { next };
    }
    if (core.view().table->isEvacuated(query.service)) {
        return ServiceEvacuated {};
    }
    if (lacksUpstreamAtHome(core, query)) {
        return NoUpstreamAtHome {};
    }
    return NoUpstream {};
}

UpstreamSelection selectUpstream(GatewayCore &core, const UpstreamQuery &query)
{
    if (!core.view().table) {
        return NoRoutingTable {};
    }
    return query.key ? selectOwner(core, query) : selectAny(core, query);
}

std::optional<Milliseconds> waitOf(const GatewayCore &core, const UpstreamSelection &selection)
{
    const TimePoint now = core.now();
    if (const auto *paused = std::get_if<PausedUpstream>(&selection)) {
        return paused->timeLeft;
    }
    if (const auto *paced = std::get_if<PacedUpstream>(&selection)) {
        return paced->upstream->pace().timeLeft(now);
    }
    if (const auto *cold = std::get_if<ColdUpstream>(&selection)) {
        return core.coldAdmission().refusedFor(*cold->upstream);
    }
    return std::nullopt;
}

bool maySendTo(const GatewayCore &core, const std::shared_ptr<GatewayUpstream> &upstream,
               const UpstreamQuery &query)
{
    if (upstream->isPaused(core.now())) {
        return false;
    }
    if (query.key) {
        return findOwner(core, query) == upstream;
    }
    return upstream->mayBeGivenWork() && core.isAtHome(*upstream, query.homes);
}

} // namespace cassiaroad
