#pragma once

#include "connection/httpserver.h"
#include "version/siteconfiguration.h"

namespace cassiaroad {

/**
 * Returns @p own, the limits of a gateway's listener, with those that the configuration carries in
 * their place. A body is never larger than @p own allows, and values are raised or lowered where a
 * listener could not work with them. Pure; thread-safe.
 */
HttpServerLimits withClientLimits(HttpServerLimits own, const ClientLimits &configured);

} // namespace cassiaroad
