#include "request/deadline.h"

#include "process/parsenumber.h"

#include <algorithm>

namespace cassiaroad {

std::optional<Deadline> Deadline::parse(std::string_view text, const Deadline &fallback,
                                        TimePoint now)
{
    if (text.empty()) {
        return fallback;
    }
    const auto count = parseNumber<std::int64_t>(text);
    if (!count || *count < 1 || *count > maxDuration.count) {
        return std::nullopt;
    }
    return Deadline::after({ *count }, now);
}

Milliseconds Deadline::timeLeft(TimePoint now) const
{
    if (!this->end.has_value()) {
        return maxDuration;
    }
    return std::max(*this->end - now, Milliseconds {});
}

} // namespace cassiaroad
