#include "cassiaroad/settingsfile.h"

#include <iostream>

namespace cassiaroad {

std::optional<Settings> loadSettings(const std::string &file)
{
    auto result = readSettings(file);
    if (const auto *errors = std::get_if<std::vector<SettingsError>>(&result)) {
        for (const SettingsError &error : *errors) {
            std::cerr << error.toString() << "\n";
        }
        return std::nullopt;
    }
    return std::get<Settings>(std::move(result));
}

} // namespace cassiaroad
