#include "version/settingoverrides.h"

#include "process/parsenumber.h"

#include <array>
#include <sstream>
#include <string_view>

namespace cassiaroad {

namespace {

/** A setting that can be overridden, with its range. */
struct AllowedRange
{
    std::string_view name;
    bool isInteger;
    double lowest;
    double highest;
};

// Durations are in milliseconds. Lease durations and election timeouts cannot be overridden: a
// change while leases are valid would shorten the waits that protect these leases.
constexpr std::array<AllowedRange, 10> allowedRanges { {
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

std::string allowedNames()
{
    std::string names;
    for (const AllowedRange &range : allowedRanges) {
        names += (names.empty() ? "" : ", ") + std::string(range.name);
    }
    return names;
}

} // namespace

std::string SettingOverrides::check(const std::string &name, const std::string &value)
{
    for (const AllowedRange &range : allowedRanges) {
        if (range.name != name) {
            continue;
        }
        const auto number = parseNumber<double>(value);
        const bool isInRange = number && *number >= range.lowest && *number <= range.highest;
        const bool isWellFormed
                = !range.isInteger || value.find_first_not_of("0123456789") == std::string::npos;
        if (value.empty() || (isInRange && isWellFormed)) {
            return "";
        }
        std::ostringstream text;
        text << name << ": read \"" << value << "\", allowed: " << (range.isInteger ? "whole " : "")
             << "numbers from " << range.lowest << " to " << range.highest;
        return text.str();
    }
    return "setting \"" + name + "\" cannot be changed, allowed: " + allowedNames();
}

double SettingOverrides::number(const std::map<std::string, std::string> &overrides,
                                const std::string &name, double fallback)
{
    const auto found = overrides.find(name);
    return found != overrides.end() ? parseNumber<double>(found->second).value_or(fallback)
                                    : fallback;
}

} // namespace cassiaroad
