#pragma once

#include "cassiaroad/controlengine.h"
#include "schema/cassiaroad.capnp.h"

namespace cassiaroad {

/** RPC interface of a control host for entry hosts and for the other members of its group. */
class MemberService final : public rpc::Member::Server
{
public:
    /** @p engine must outlive the service and its calls. */
    explicit MemberService(ControlEngine &engine);

    kj::Promise<void> watch(WatchContext context) override;
    kj::Promise<void> announce(AnnounceContext context) override;
    kj::Promise<void> begin(BeginContext context) override;
    kj::Promise<void> finish(FinishContext context) override;
    kj::Promise<void> deliver(DeliverContext context) override;

private:
    template <typename Reply, typename Context, typename Encode>
    kj::Promise<void> handleCall(Context context, Encode encode);

    ControlEngine &engine;
};

} // namespace cassiaroad
