#include "gateway/spread.h"

#include <xxhash.h>

namespace cassiaroad {

double spreadOf(const std::string &text)
{
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(XXH3_64bits(text.data(), text.size()) % steps) / steps;
}

} // namespace cassiaroad
