#include "gateway/listenerlimits.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr std::uint64_t minHeadBytes = 1024;
// h2o takes heads of up to 408 KiB.
constexpr std::uint64_t maxHeadBytes = std::uint64_t(256) * 1024;
// With a shorter timeout, new connections would be closed before their first request arrives.
constexpr Milliseconds minTimeout { 1000 };

} // namespace

HttpServerLimits withClientLimits(HttpServerLimits own, const ClientLimits &configured)
{
    own.maxHeadBytes = std::clamp(configured.maxHeaderBytes, minHeadBytes, maxHeadBytes);
    own.maxBodyBytes = std::min<std::uint64_t>(configured.maxBodyBytes, own.maxBodyBytes);
    own.headTimeout = std::max(configured.headerTimeout, minTimeout);
    own.idleTimeout = std::max(configured.idleTimeout, minTimeout);
    return own;
}

} // namespace cassiaroad
