#include "registry/slotcalls.h"

namespace cassiaroad {

namespace {

// Several heartbeat intervals of the replicas. The silent host may only be slow; a call that it
// gets as a member has no effect.
constexpr Milliseconds minSilence { 1000 };
constexpr Milliseconds callInterval { 500 };

} // namespace

std::vector<std::string> SlotCalls::due(const std::map<std::uint32_t, std::string> &members,
                                        const std::string &ownIp,
                                        const std::map<std::uint32_t, TimePoint> &lastContact,
                                        TimePoint now)
{
    std::vector<std::string> result;
    for (const auto &[slot, ip] : members) {
        const auto contact = lastContact.find(slot);
        const bool isSilent = contact == lastContact.end() || now - contact->second >= minSilence;
        const auto called = this->calledAt.find(slot);
        const bool isDue = called == this->calledAt.end() || now - called->second >= callInterval;
        if (ip != ownIp && isSilent && isDue) {
            this->calledAt[slot] = now;
            result.push_back(ip);
        }
    }
    return result;
}

} // namespace cassiaroad
