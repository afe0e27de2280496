#pragma once

#include "process/clock.h"

#include <map>
#include <string>
#include <vector>

namespace cassiaroad {

/**
 * Decides when a member calls the addresses of silent slots, so that a host which has lost its data
 * and knows no member finds the group. Pure; not thread-safe.
 */
class SlotCalls
{
public:
    /**
     * Returns the addresses to call at @p now: those of @p members except @p ownIp whose slot has
     * sent nothing for a second by @p lastContact. A slot without an entry there is silent.
     */
    std::vector<std::string> due(const std::map<std::uint32_t, std::string> &members,
                                 const std::string &ownIp,
                                 const std::map<std::uint32_t, TimePoint> &lastContact,
                                 TimePoint now);

private:
    std::map<std::uint32_t, TimePoint> calledAt; // by slot
};

} // namespace cassiaroad
