#pragma once

#include "version/sitewatch.h"

namespace cassiaroad {

/** What a control host is to do after it has asked for the group. */
struct StartMember
{
    std::uint32_t slot = 0;
    bool found = false; // founds the group
};

/**
 * Looks for the control group of a host without a slot: asks the seeds, and whom they name, until a
 * leader gives it a slot or it may found the group. Pure; not thread-safe.
 */
class SlotFinder
{
public:
    /** @p mayFound: the site starts for the first time and this host is the first seed. */
    SlotFinder(std::string ownIp, std::vector<std::string> seeds, bool mayFound);

    /** Ip addresses to ask now. */
    std::vector<std::string> targets() const;

    /** Takes the answer of @p ip; returns what follows from it, if anything. */
    std::optional<StartMember> onHint(const std::string &ip, const GroupHint &hint);

    /** Sets the seeds after a change of the settings. */
    void setSeeds(std::vector<std::string> seeds) { this->seedIps = std::move(seeds); }

private:
    bool isAloneOrConfirmed() const;

    std::string ownIp;
    std::vector<std::string> seedIps;
    bool mayFound;
    std::string leaderIp;
    std::map<std::uint32_t, std::string> members;
    std::vector<std::string> withoutGroup; // seeds that know no group
};

/** Slot number of a host that founds a group. */
inline constexpr std::uint32_t founderSlot = 1;

} // namespace cassiaroad
