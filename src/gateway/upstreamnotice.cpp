#include "gateway/upstreamnotice.h"

#include "connection/refusalstatus.h"
#include "process/parsenumber.h"
#include "request/hopheaders.h"

#include <algorithm>
#include <cmath>

namespace cassiaroad {

namespace {

// An upstream that asks for more is treated as if it had asked for so long.
constexpr Milliseconds maxPause { 3600 * 1000 };

// Returns the span in @p seconds, a number that may have a fraction; nothing if it is no such
// number.
std::optional<Milliseconds> parseSeconds(std::string_view seconds)
{
    const std::optional<double> value = parseNumber<double>(seconds);
    if (!value || !(*value >= 0.0)) {
        return std::nullopt;
    }
    const double milliseconds = std::min(*value * 1000.0, static_cast<double>(maxPause.count));
    return Milliseconds { static_cast<std::int64_t>(std::ceil(milliseconds)) };
}

} // namespace

UpstreamNotice readNotice(const HttpResponse &response, const ExternalHeaders &names)
{
    UpstreamNotice notice;
    notice.isLeaving = !names.upstreamLeaving.empty()
                       && HopHeaders::find(response.headers, names.upstreamLeaving) == "1";
    if (response.status == statusUnavailable) {
        notice.pause = parseSeconds(HopHeaders::find(response.headers, "retry-after"));
    }
    return notice;
}

} // namespace cassiaroad
