#pragma once

#include "process/settings.h"

#include <optional>
#include <string>

namespace cassiaroad {

/** Reads a settings file; prints every error to standard error and returns nothing if there is one.
 */
std::optional<Settings> loadSettings(const std::string &file);

} // namespace cassiaroad
