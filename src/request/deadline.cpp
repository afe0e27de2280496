#include "request/deadline.h"

#include <algorithm>
#include <charconv>

namespace cassiaroad {

std::optional<Deadline> Deadline::parse(std::string_view text, const Deadline &fallback,
                                        TimePoint now)
{
    if (text.empty()) {
        return fallback;
    }
    std::int64_t count = 0;
    const char *end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || last != end || count < 1 || count > maxDuration.count) {
        return std::nullopt;
    }
    return Deadline::after({ count }, now);
}

Milliseconds Deadline::timeLeft(TimePoint now) const
{
    if (!this->end.has_value()) {
        return maxDuration;
    }
    return std::max(*this->end - now, Milliseconds {});
}

} // namespace cassiaroad
