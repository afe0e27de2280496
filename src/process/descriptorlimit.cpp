#include "process/descriptorlimit.h"

#include <algorithm>

#include <sys/resource.h>

namespace cassiaroad {

std::uint32_t descriptorLimit()
{
    rlimit descriptors {};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
        return UINT32_MAX;
    }
    return static_cast<std::uint32_t>(std::min<rlim_t>(descriptors.rlim_cur, UINT32_MAX));
}

} // namespace cassiaroad
