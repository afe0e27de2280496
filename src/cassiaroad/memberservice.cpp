#include "cassiaroad/memberservice.h"

#include "connection/ownershipcodec.h"

#include <kj/debug.h>

namespace cassiaroad {

namespace {

void encodeHint(const MemberSettings *leader, rpc::LeaderHint::Builder builder)
{
    if (leader != nullptr) {
        builder.setMember(leader->number);
        builder.setAddress(leader->rpc.toString());
        builder.setOperatorAddress(leader->operators.toString());
    }
}

} // namespace

MemberService::MemberService(ControlEngine &engine)
    : engine(engine)
{ }

/** Passes the call to the engine and writes its reply, or a hint that names the leader. */
template <typename Reply, typename Context, typename Encode>
kj::Promise<void> MemberService::handleCall(Context context, Encode encode)
{
    const auto makeEvent = [&context](CallId call) {
        auto event = decode(context.getParams().getRequest());
        event.call = call;
        return OwnershipEvent(std::move(event));
    };
    const bool canAnswer = this->engine.canAnswer();
    return this->engine.call(makeEvent).then([this, context, encode,
                                              canAnswer](OwnershipAction &&action) mutable {
        context.releaseParams();
        if (const auto *reply = std::get_if<Reply>(&action)) {
            encode(*reply, context.getResults().initReply());
            return;
        }
        if (const auto *failed = std::get_if<ReplyFailed>(&action)) {
            kj::throwFatalException(KJ_EXCEPTION(FAILED, failed->reason.c_str()));
        }
        // A call that arrived while this member was the leader may have been proposed, but a reply
        // with the hint would say that it was not executed.
        if (canAnswer) {
            kj::throwFatalException(KJ_EXCEPTION(FAILED, "leadership was lost during the call"));
        }
        encodeHint(this->engine.leader(), context.getResults().initReply().initNotLeader());
    });
}

kj::Promise<void> MemberService::watch(WatchContext context)
{
    return this->handleCall<ReplyWatch>(context, [this](const ReplyWatch &reply, auto builder) {
        encode(reply, this->engine.configuration().group, builder);
    });
}

kj::Promise<void> MemberService::announce(AnnounceContext context)
{
    return this->handleCall<ReplyAnnounce>(
            context, [](const ReplyAnnounce &reply, auto builder) { encode(reply, builder); });
}

kj::Promise<void> MemberService::begin(BeginContext context)
{
    return this->handleCall<ReplyBegin>(
            context, [](const ReplyBegin &reply, auto builder) { encode(reply, builder); });
}

kj::Promise<void> MemberService::finish(FinishContext context)
{
    return this->handleCall<ReplyFinish>(
            context, [](const ReplyFinish &reply, auto builder) { encode(reply, builder); });
}

kj::Promise<void> MemberService::deliver(DeliverContext context)
{
    const auto params = context.getParams();
    KJ_REQUIRE(params.getGroup() == kj::StringPtr(this->engine.configuration().group.c_str()),
               "the message is for another group");
    const auto message = params.getMessage().asChars();
    this->engine.receive({ message.begin(), message.size() });
    return kj::READY_NOW;
}

} // namespace cassiaroad
