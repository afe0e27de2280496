#include "process/settings.h"

#include "process/inifile.h"
#include "process/settingsreader.h"

#include <fstream>
#include <sstream>

namespace cassiaroad {

std::string SettingsError::toString() const
{
    const std::string where = this->file + ":" + std::to_string(this->line) + ": " + this->key;
    const std::string read
            = this->line == 0 && this->value.empty() ? "missing" : "read \"" + this->value + "\"";
    return where + ": " + read + ", allowed: " + this->allowed;
}

std::variant<Settings, std::vector<SettingsError>> readSettings(const std::string &path)
{
    std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream.is_open() || stream.bad()) {
        return std::vector<SettingsError> { { path, 0, "file", "", "a readable settings file" } };
    }
    const IniFile ini(text.str());
    SettingsReader reader(path, ini);
    const Settings settings = reader.read();
    const std::vector<SettingsError> errors = reader.errors();
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

} // namespace cassiaroad
