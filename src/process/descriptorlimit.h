#pragma once

#include <cstdint>

namespace cassiaroad {

/**
 * Returns how many file descriptors this process may have open at a time; UINT32_MAX if there is no
 * limit or it cannot be read. Source: the soft limit RLIMIT_NOFILE. Thread-safe.
 */
std::uint32_t descriptorLimit();

} // namespace cassiaroad
