#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace cassiaroad {

/** IP addresses of the members of a control group, by slot. */
struct MemberList
{
    // Number of slot assignments that led to the list. Of two lists of a group the one with the
    // higher revision is newer.
    std::uint64_t revision = 0;
    std::map<std::uint32_t, std::string> ips;

    bool operator==(const MemberList &) const = default;
};

} // namespace cassiaroad
