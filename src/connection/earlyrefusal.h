#pragma once

#include <string>

namespace cassiaroad {

/**
 * Returns the HTTP/1.1 response to a request that is still arriving, and that h2o has not handed
 * on: 413, 431 or 503. It says that the request has not run, and that the connection ends.
 * Thread-safe.
 */
std::string earlyRefusal(int status);

} // namespace cassiaroad
