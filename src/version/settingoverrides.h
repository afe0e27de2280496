#pragma once

#include <map>
#include <string>

namespace cassiaroad {

/** Checks names and values of the settings that operators can override in a running group. */
class SettingOverrides
{
public:
    /**
     * Returns an empty text if @p name can be set to @p value, otherwise a message that gives the
     * allowed names or the allowed range. An empty value removes the override. Thread-safe.
     */
    static std::string check(const std::string &name, const std::string &value);

    /** Returns the override of setting @p name, or @p fallback if there is none. Thread-safe. */
    static double number(const std::map<std::string, std::string> &overrides,
                         const std::string &name, double fallback);
};

} // namespace cassiaroad
