#pragma once

#include <string>

namespace cassiaroad {

/**
 * Returns a number from 0 to 1 that is the same for the same text, and spread evenly over different
 * ones. Thread-safe.
 */
double spreadOf(const std::string &text);

} // namespace cassiaroad
