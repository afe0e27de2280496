#pragma once

#include <map>
#include <string>

namespace cassiaroad {

/** Checked names and ranges of the settings that operators may override in a running group. */
class SettingOverrides
{
public:
    /**
     * Returns an empty text if @p name may be set to @p value, or a sentence with the allowed
     * names or range. An empty value removes the override. Thread-safe.
     */
    static std::string check(const std::string &name, const std::string &value);

    /** Returns the overridden number, or @p fallback if there is none. Thread-safe. */
    static double number(const std::map<std::string, std::string> &overrides,
                         const std::string &name, double fallback);
};

} // namespace cassiaroad
