#pragma once

#include "process/clock.h"

#include <string>
#include <utility>
#include <vector>

namespace cassiaroad {

/**
 * Lowers a Retry-After of seconds, also with fractions, by @p elapsed, the time for which the
 * response was kept: it counts from the response that the client receives. A date stays as it is.
 * Pure; thread-safe.
 */
void reduceRetryAfter(std::vector<std::pair<std::string, std::string>> &headers,
                      Milliseconds elapsed);

} // namespace cassiaroad
