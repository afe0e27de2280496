#pragma once

#include "connection/keptresponses.h"

#include <string_view>

namespace cassiaroad {

class GatewayCore;

/**
 * Tells whether a request for this host and path may be handled while requests that were sent
 * before it on the same connection are open: its route, and thus the request, is idempotent, and
 * the gateway accepts new requests. Loop thread only.
 */
RunAhead runAheadOf(const GatewayCore &core, std::string_view host, std::string_view path);

} // namespace cassiaroad
