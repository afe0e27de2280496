#include "registry/slotfinder.h"

#include <algorithm>

namespace cassiaroad {

SlotFinder::SlotFinder(std::string ownIp, std::vector<std::string> seeds, bool mayFound)
    : ownIp(std::move(ownIp))
    , seedIps(std::move(seeds))
    , mayFound(mayFound)
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

// A restarted first seed must not found a second group, so another seed has to know none either.
bool SlotFinder::isAloneOrConfirmed() const
{
    return this->targets().empty() || !this->withoutGroup.empty();
}

std::optional<StartMember> SlotFinder::onHint(const std::string &ip, const GroupHint &hint)
{
    if (hint.slot != 0) {
        return StartMember { hint.slot, false };
    }
    if (hint.groupExists) {
        this->mayFound = false;
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
    if (this->mayFound && this->isAloneOrConfirmed()) {
        return StartMember { founderSlot, true };
    }
    return std::nullopt;
}

} // namespace cassiaroad
