#include "version/settingoverrides.h"

#include <array>
#include <charconv>
#include <sstream>
#include <string_view>

namespace cassiaroad {

namespace {

struct Range
{
    std::string_view name;
    bool whole;
    double lowest;
    double highest;
};

// Durations are in milliseconds. Lease and election times are not here: changing them while
// leases are out would shorten the waits that protect those leases.
constexpr std::array<Range, 10> ranges { {
        { "limits.eject-percent", true, 0, 50 },
        { "limits.queue-length", true, 1, 100000 },
        { "limits.queue-time-ms", true, 10, 60000 },
        { "limits.retry-percent", true, 0, 100 },
        { "placement.churn-weight", false, 0, 1000 },
        { "placement.imbalance-weight", false, 0, 1000 },
        { "placement.unavailability-weight", false, 0, 1000 },
        { "timing.default-deadline-ms", true, 100, 600000 },
        { "timing.pool-idle-ms", true, 100, 600000 },
        { "timing.silence-ms", true, 100, 60000 },
} };

bool parse(const std::string &text, double &number)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc() && result.ptr == end;
}

std::string allowedNames()
{
    std::string names;
    for (const Range &range : ranges) {
        names += (names.empty() ? "" : ", ") + std::string(range.name);
    }
    return names;
}

} // namespace

std::string SettingOverrides::check(const std::string &name, const std::string &value)
{
    for (const Range &range : ranges) {
        if (range.name != name) {
            continue;
        }
        double number = 0;
        const bool readable = value.empty() || parse(value, number);
        const bool inRange = value.empty() || (number >= range.lowest && number <= range.highest);
        const bool fits
                = !range.whole || value.find_first_not_of("0123456789") == std::string::npos;
        if (readable && inRange && fits) {
            return "";
        }
        std::ostringstream text;
        text << name << ": read \"" << value << "\", allowed: " << (range.whole ? "whole " : "")
             << "numbers from " << range.lowest << " to " << range.highest;
        return text.str();
    }
    return "setting \"" + name + "\" cannot be changed, allowed: " + allowedNames();
}

double SettingOverrides::number(const std::map<std::string, std::string> &overrides,
                                const std::string &name, double fallback)
{
    const auto found = overrides.find(name);
    double number = 0;
    return found != overrides.end() && parse(found->second, number) ? number : fallback;
}

} // namespace cassiaroad
