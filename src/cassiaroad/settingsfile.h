#pragma once

#include "process/settings.h"

#include <optional>
#include <string>

namespace cassiaroad {

/**
 * Reads a settings file. If it has errors, prints all of them to standard error and returns
 * nothing.
 */
std::optional<Settings> loadSettings(const std::string &file);

} // namespace cassiaroad
