#pragma once

#include "registry/registryengine.h"
#include "schema/cassiaroad.capnp.h"

namespace cassiaroad {

/** RPC interface of a control host for gateways and other control hosts. Loop thread only. */
class RegistryService final : public rpc::Registry::Server
{
public:
    /** The arguments must outlive the service and its calls. */
    RegistryService(EventLoop &loop, RegistryEngine &engine);

    kj::Promise<void> deliver(DeliverContext context) override;
    kj::Promise<void> watch(WatchContext context) override;
    kj::Promise<void> join(JoinContext context) override;
    kj::Promise<void> permit(PermitContext context) override;

private:
    EventLoop &loop;
    RegistryEngine &engine;
};

} // namespace cassiaroad
