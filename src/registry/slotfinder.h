#pragma once

#include "version/sitewatch.h"

namespace cassiaroad {

/** Result of the search for the group: how a control host starts as a member. */
struct StartMember
{
    std::uint32_t slot = 0;
    bool bootstrap = false; // bootstraps the group instead of joining it
};

/**
 * Search for the control group by a host without a slot: says which hosts to query (the seeds and
 * the hosts that they name) until a leader assigns a slot or the host can bootstrap the group.
 * Pure; not thread-safe.
 */
class SlotFinder
{
public:
    /** @p canBootstrapGroup: the site starts for the first time and this host is the first seed. */
    SlotFinder(std::string ownIp, std::vector<std::string> seeds, bool canBootstrapGroup);

    /** Returns the ip addresses to query now. */
    std::vector<std::string> targets() const;

    /** Handles the reply of @p ip; returns how to start if the search has ended. */
    std::optional<StartMember> onHint(const std::string &ip, const GroupHint &hint);

    /** Sets the seeds after a change of the settings. */
    void setSeeds(std::vector<std::string> seeds) { this->seedIps = std::move(seeds); }

private:
    bool isGroupRuledOut() const;

    std::string ownIp;
    std::vector<std::string> seedIps;
    bool canBootstrapGroup;
    std::string leaderIp; // empty: unknown
    std::map<std::uint32_t, std::string> members; // ip by slot
    std::vector<std::string> withoutGroup; // other seeds that know of no group
};

/** Slot of the member that bootstraps the group. */
inline constexpr std::uint32_t bootstrapSlot = 1;

} // namespace cassiaroad
