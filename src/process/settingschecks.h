#pragma once

#include "process/inifile.h"
#include "process/settings.h"

#include <string>
#include <vector>

namespace cassiaroad {

/** Checks that the values of different keys are compatible. Not thread-safe. */
class SettingsChecks
{
public:
    /** The arguments must outlive the object; errors are added to @p errors. */
    SettingsChecks(const std::string &file, const IniFile &ini, const Settings &settings,
                   std::vector<SettingsError> &errors);

    /** Runs every check. */
    void run();

private:
    void checkTiming();
    void checkGroup();
    void checkAddresses();
    void fail(const std::string &section, const std::string &key, const std::string &allowed);
    void failUnless(bool condition, const std::string &section, const std::string &key,
                    const std::string &allowed);

    const std::string &file;
    const IniFile &ini;
    const Settings &settings;
    std::vector<SettingsError> &errors;
};

} // namespace cassiaroad
