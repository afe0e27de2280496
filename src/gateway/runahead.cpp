#include "gateway/runahead.h"

#include "gateway/gatewaycore.h"

namespace cassiaroad {

RunAhead runAheadOf(const GatewayCore &core, std::string_view host, std::string_view path)
{
    const std::shared_ptr<const ActiveConfiguration> &active = core.view().active;
    if (!active || core.refusesNewRequests()) {
        return RunAhead::Never;
    }
    const SiteRoute *route = active->routes.find(host, path);
    if (route == nullptr || !isIdempotent(route->kind)) {
        return RunAhead::Never;
    }
    return route->kind == RouteKind::Download ? RunAhead::Large : RunAhead::Small;
}

} // namespace cassiaroad
