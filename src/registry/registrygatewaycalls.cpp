#include "registry/registryengine.h"

#include "connection/rpcdelay.h"

#include <kj/debug.h>

// Calls of gateways: the part of RegistryEngine that answers them.

namespace cassiaroad {

// Returns the reply to a watch call that arrived at @p calledAt: what the gateway does not have
// yet, or a hint to the leader.
GatewayWatchReply RegistryEngine::update(const GatewayReport &report, TimePoint calledAt)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::WatchReplies);
    if (!this->canAnswer()) {
        return this->group.hint();
    }
    return this->updates.updateFor(report, calledAt);
}

// Resolves when whenLeadershipIsCertain() would run an action.
kj::Promise<void> RegistryEngine::certainLeadership()
{
    if (!this->isLeadershipUncertain()) {
        return kj::READY_NOW;
    }
    auto paf = kj::newPromiseAndFulfiller<void>();
    const auto fulfiller
            = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(kj::mv(paf.fulfiller));
    this->whenLeadershipIsCertain([fulfiller] { (*fulfiller)->fulfill(); });
    return kj::mv(paf.promise);
}

kj::Promise<GatewayWatchReply> RegistryEngine::watch(GatewayReport report)
{
    const TimePoint calledAt = this->loop.now();
    return this->certainLeadership().then([this, calledAt, report = std::move(report)]() mutable {
        return this->handleCertainWatch(std::move(report), calledAt);
    });
}

kj::Promise<GatewayWatchReply> RegistryEngine::handleCertainWatch(GatewayReport report,
                                                                  TimePoint calledAt)
{
    if (!this->canAnswer()) {
        return GatewayWatchReply(this->group.hint());
    }
    this->updates.load().countCall();
    if (report.isSearch) {
        GatewayUpdate update;
        update.watchTimeout = this->updates.watchTimeout();
        return GatewayWatchReply(update);
    }
    const std::vector<RegistryCommand> commands
            = this->manager.onGatewayReport(report, this->loop.now());
    if (!commands.empty()) {
        this->commit(commands, [](bool, PutOutcome) {});
    }
    if (!report.broken.empty() || !report.answered.empty() || !report.trials.empty()) {
        this->updates.notify();
    }
    if (!this->updates.isCurrent(report)) {
        return this->update(report, calledAt);
    }
    return this->updates.wait()
            .exclusiveJoin(rpcDelay(this->loop, this->updates.watchTimeout()))
            .then([this] { return this->certainLeadership(); })
            .then([this, calledAt, report = std::move(report)] {
                return this->update(report, calledAt);
            });
}

kj::Promise<PermitReply> RegistryEngine::grantPermits(PermitRequest request)
{
    return this->certainLeadership().then([this, request = std::move(request)] {
        if (!this->canAnswer()) {
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "this host does not lead"));
        }
        return this->grantCertainPermits(request);
    });
}

PermitReply RegistryEngine::grantCertainPermits(const PermitRequest &request)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::WatchReplies);
    PermitReply reply = this->manager.grantPermits(request, this->loop.now());
    for (const PermitAsk &ask : request.asks) {
        this->askedPermits.Increment(ask.count);
    }
    for (const PermitGrant &grant : reply.grants) {
        this->grantedPermits.Increment(grant.count);
    }
    return reply;
}

} // namespace cassiaroad
