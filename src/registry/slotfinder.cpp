#include "registry/slotfinder.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// How long only the seeds and the hosts that they name are asked. Longer than a call to each.
constexpr Milliseconds callerDelay { 2000 };
// Callers to remember. A group has fewer members that call.
constexpr std::size_t maxCallers = 16;

} // namespace

SlotFinder::SlotFinder(std::string ownIp, std::vector<std::string> seeds, bool canBootstrapGroup,
                       TimePoint startedAt)
    : ownIp(std::move(ownIp))
    , seedIps(std::move(seeds))
    , canBootstrapGroup(canBootstrapGroup)
    , startedAt(startedAt)
{ }

std::vector<std::string> SlotFinder::targets(TimePoint now) const
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
    if (now - this->startedAt >= callerDelay) {
        for (const std::string &ip : this->callers) {
            add(ip);
        }
    }
    return result;
}

// A host that is called never bootstraps: a group exists.
bool SlotFinder::onCall(const std::string &ip)
{
    this->canBootstrapGroup = false;
    const bool isKnown
            = std::find(this->callers.begin(), this->callers.end(), ip) != this->callers.end();
    if (ip.empty() || ip == this->ownIp || isKnown) {
        return false;
    }
    this->callers.push_back(ip);
    if (this->callers.size() > maxCallers) {
        this->callers.erase(this->callers.begin());
    }
    return true;
}

// Whether no group can exist: there is no host to query, or another seed knows of none either. A
// restarted first seed must not bootstrap a second group.
bool SlotFinder::isGroupRuledOut() const
{
    return this->targets(this->startedAt).empty() || !this->withoutGroup.empty();
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
