#include "connection/retryafter.h"

#include "process/lowercase.h"
#include "process/parsenumber.h"

#include <algorithm>
#include <cmath>

namespace cassiaroad {

namespace {

constexpr double msPerSecond = 1000.0;
constexpr double maxSeconds = 1e9;

} // namespace

void reduceRetryAfter(std::vector<std::pair<std::string, std::string>> &headers,
                      Milliseconds elapsed)
{
    for (auto &[name, value] : headers) {
        const auto seconds = parseNumber<double>(value);
        if (lowerCase(name) != "retry-after" || !seconds || !(*seconds >= 0)
            || *seconds > maxSeconds) {
            continue;
        }
        const std::int64_t left = std::max<std::int64_t>(
                std::llround(*seconds * msPerSecond) - std::max<std::int64_t>(elapsed.count, 0), 0);
        const std::string digits = std::to_string(1000 + left % 1000);
        value = std::to_string(left / 1000) + "." + digits.substr(1);
    }
}

} // namespace cassiaroad
