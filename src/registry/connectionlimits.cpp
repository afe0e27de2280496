#include "registry/connectionlimits.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr std::size_t megabyte = std::size_t(1024) * 1024;
// Of a configuration. The leader holds several copies of one while it is accepted, and the history
// of the latest eight. One of 16 MiB took more than the 256 MB of a control host.
constexpr std::size_t maxDocumentBytes = 4 * megabyte;
// Of all calls and unread answers.
constexpr std::size_t maxBytesOfCalls = 32 * megabyte;
// A connection takes up to 14 KB that are not counted among the bytes of calls.
constexpr std::uint32_t maxControlConnections = 2000;
constexpr std::uint32_t maxInternalConnections = 1500;
// Shares of the control connections.
constexpr std::uint32_t singleCallShare = 10; // a tenth is closed after each response
constexpr std::uint32_t reservedShare = 20; // a twentieth is kept free by closing idle ones

} // namespace

RegistryListenerLimits registryListenerLimits(std::uint32_t descriptors)
{
    RegistryListenerLimits limits;
    HttpServerLimits &control = limits.control;
    control.maxBodyBytes = maxDocumentBytes;
    control.maxRequestBytes = maxBytesOfCalls;
    control.maxConnections = std::min(maxControlConnections, descriptors / 2);
    control.maxKeptConnections = control.maxConnections - control.maxConnections / singleCallShare;
    control.reservedConnections = control.maxConnections / reservedShare;
    limits.internal.maxConnections = std::min(maxInternalConnections, descriptors / 8 * 3);
    return limits;
}

} // namespace cassiaroad
