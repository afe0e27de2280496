#pragma once

#include <string>
#include <string_view>

namespace cassiaroad {

/** Returns @p text with the letters A to Z in lower case; other bytes stay. Thread-safe. */
std::string lowerCase(std::string_view text);

} // namespace cassiaroad
