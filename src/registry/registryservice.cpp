#include "registry/registryservice.h"

#include <kj/debug.h>

namespace cassiaroad {

namespace {

std::string_view view(capnp::Data::Reader data)
{
    const auto chars = data.asChars();
    return { chars.begin(), chars.size() };
}

capnp::Data::Reader toData(const std::string &text)
{
    return kj::arrayPtr(reinterpret_cast<const kj::byte *>(text.data()), text.size());
}

} // namespace

RegistryService::RegistryService(EventLoop &loop, RegistryEngine &engine)
    : loop(loop)
    , engine(engine)
{ }

kj::Promise<void> RegistryService::deliver(DeliverContext context)
{
    const auto params = context.getParams();
    const auto ip = params.getFromIp();
    this->engine.member().receive(params.getFromMember(), std::string(ip.begin(), ip.size()),
                                  view(params.getMessage()));
    return kj::READY_NOW;
}

kj::Promise<void> RegistryService::watch(WatchContext context)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::WatchReports);
    auto report = decodeGatewayReport(view(context.getParams().getReport()));
    KJ_REQUIRE(report.has_value(), "the report of a gateway cannot be decoded");
    context.releaseParams();
    return this->engine.watch(std::move(*report))
            .then([this, context](const GatewayWatchReply &reply) mutable {
                const WorkMeter::Scope replyScope(this->loop.workMeter(), Work::WatchReplies);
                context.getResults().setAnswer(toData(encode(reply)));
            });
}

kj::Promise<void> RegistryService::permit(PermitContext context)
{
    auto request = decodePermitRequest(view(context.getParams().getRequest()));
    KJ_REQUIRE(request.has_value(), "the request for permits cannot be decoded");
    context.releaseParams();
    return this->engine.grantPermits(std::move(*request))
            .then([context](const PermitReply &reply) mutable {
                context.getResults().setReply(toData(encode(reply)));
            });
}

kj::Promise<void> RegistryService::join(JoinContext context)
{
    const std::string_view bytes = view(context.getParams().getRequest());
    if (const auto call = decodeMemberCall(bytes)) {
        this->engine.member().onMemberCall(*call);
    }
    const auto request = decodeJoinRequest(bytes);
    KJ_REQUIRE(request.has_value(), "the request of a control host cannot be decoded");
    return this->engine.join(*request).then([context](const GroupHint &hint) mutable {
        context.getResults().setHint(toData(encode(hint)));
    });
}

} // namespace cassiaroad
