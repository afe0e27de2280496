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
    /**
     * @p canBootstrapGroup: the site starts for the first time and this host is the first seed.
     * The search begins at @p startedAt.
     */
    SlotFinder(std::string ownIp, std::vector<std::string> seeds, bool canBootstrapGroup,
               TimePoint startedAt);

    /** Returns the ip addresses to query at @p now. */
    std::vector<std::string> targets(TimePoint now) const;

    /**
     * Handles the call of a member at @p ip, whose group has a slot for the address of this host.
     * Returns whether the caller is a new one. The call gives no slot: the host asks the caller as
     * it asks a seed, but only after the seeds had time to answer, since the address of this host
     * may have been that of a member of another group.
     */
    bool onCall(const std::string &ip);

    /** Handles the reply of @p ip; returns how to start if the search has ended. */
    std::optional<StartMember> onHint(const std::string &ip, const GroupHint &hint);

    /** Sets the seeds after a change of the settings. */
    void setSeeds(std::vector<std::string> seeds) { this->seedIps = std::move(seeds); }

private:
    bool isGroupRuledOut() const;

    std::string ownIp;
    std::vector<std::string> seedIps;
    bool canBootstrapGroup;
    TimePoint startedAt;
    std::vector<std::string> callers; // ips, the latest last
    std::string leaderIp; // empty: unknown
    std::map<std::uint32_t, std::string> members; // ip by slot
    std::vector<std::string> withoutGroup; // other seeds that know of no group
};

/** Slot of the member that bootstraps the group. */
inline constexpr std::uint32_t bootstrapSlot = 1;

} // namespace cassiaroad
