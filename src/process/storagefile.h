#pragma once

#include "process/storageerror.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace cassiaroad {

/** Where and how a member stores its data. */
struct StorageOptions
{
    std::string folder;
    std::uint64_t segmentBytes = 4 * 1024 * 1024; // a segment ends with the append that exceeds it
    std::uint64_t maxBytes = 0; // of all log writes of this process; above it ENOSPC; 0: no limit
};

} // namespace cassiaroad
