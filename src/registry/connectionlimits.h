#pragma once

#include "connection/httpserver.h"
#include "connection/rpcserver.h"

namespace cassiaroad {

/** Limits of the listeners of a control host. */
struct RegistryListenerLimits
{
    HttpServerLimits control; // for upstreams and operators
    RpcServerLimits internal; // for gateways and control hosts

    bool operator==(const RegistryListenerLimits &) const = default;
};

/**
 * Returns the limits of a control host whose process may have @p descriptors file descriptors. Both
 * listeners together leave an eighth of them, for files and for connections that the host opens.
 *
 * There may be more upstreams than connections. Each upstream keeps its connection between
 * heartbeats, so that without a further bound the first ones would hold all connections, and no
 * other upstream and no operator would get one. The control listener therefore keeps only a part of
 * its connections open after a response; the rest serves one call for each connection. Thread-safe.
 */
RegistryListenerLimits registryListenerLimits(std::uint32_t descriptors);

} // namespace cassiaroad
