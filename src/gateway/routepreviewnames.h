#pragma once

namespace cassiaroad {

/** Path at the readiness listener that answers a RouteQuestion, which is in these headers. */
inline constexpr const char *routePreviewPath = "/-/route";
inline constexpr const char *routeHostHeader = "cassiaroad-route-host";
inline constexpr const char *routePathHeader = "cassiaroad-route-path";
inline constexpr const char *routeKeyHeader = "cassiaroad-route-key";

} // namespace cassiaroad
