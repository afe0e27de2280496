#include "registry/slotfinder.h"

#include <algorithm>

namespace cassiaroad {

SlotFinder::SlotFinder(std::string ownIp, std::vector<std::string> seeds, bool canBootstrapGroup)
    : ownIp(std::move(ownIp))
    , seedIps(std::move(seeds))
    , canBootstrapGroup(canBootstrapGroup)
{ }

std::vector<std::string> SlotFinder::targets() const
{
    std::vector<std::string> result;
    const auto add = [&](const std::string &ip) {
        if (!ip.empty() && ip != this->ownIp
            && std::find(result.begin(), result.end(), ip) == result.end()) {
            result.push_back(ip);
        }
    };
    add(this->leaderIp);
    for (const std::string &ip : this->seedIps) {
        add(ip);
    }
    for (const auto &[slot, ip] : this->members) {
        add(ip);
    }
    return result;
}

// Whether no group can exist: there is no host to query, or another seed knows of none either. A
// restarted first seed must not bootstrap a second group.
bool SlotFinder::isGroupRuledOut() const
{
    return this->targets().empty() || !this->withoutGroup.empty();
}

std::optional<StartMember> SlotFinder::onHint(const std::string &ip, const GroupHint &hint)
{
    if (hint.slot != 0) {
        return StartMember { hint.slot, false };
    }
    if (hint.groupExists) {
        this->canBootstrapGroup = false;
        this->leaderIp = hint.leaderIp;
        for (const auto &[slot, address] : hint.members) {
            this->members[slot] = address;
        }
        return std::nullopt;
    }
    const bool isSeed
            = std::find(this->seedIps.begin(), this->seedIps.end(), ip) != this->seedIps.end();
    if (isSeed && ip != this->ownIp) {
        this->withoutGroup.push_back(ip);
    }
    if (this->canBootstrapGroup && this->isGroupRuledOut()) {
        return StartMember { bootstrapSlot, true };
    }
    return std::nullopt;
}

} // namespace cassiaroad
