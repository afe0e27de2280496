#include "cassiaroad/membersettings.h"

namespace cassiaroad {

ReplicaOptions replicaOptions(const Settings &settings)
{
    ReplicaOptions options;
    for (const MemberSettings &member : settings.members) {
        options.members.push_back(member.number);
    }
    options.heartbeatInterval = settings.timing.heartbeatInterval;
    options.minElectionTimeout = settings.timing.minElectionTimeout;
    options.maxElectionTimeout = settings.timing.maxElectionTimeout;
    options.leaderLease = settings.timing.leaderLease;
    options.entriesRetainedBeforeSnapshot
            = std::get<ControlSettings>(settings.role).entriesRetained;
    if (settings.region != settings.group) {
        // The tie-breaking member is in another region, far from the others, so it waits longer
        // before it becomes a candidate.
        options.electionDelay
                = settings.timing.maxElectionTimeout - settings.timing.minElectionTimeout;
    }
    return options;
}

std::uint32_t ownNumber(const Settings &settings)
{
    return std::get<ControlSettings>(settings.role).member;
}

std::map<std::uint32_t, HostAddress> peerAddresses(const Settings &settings)
{
    std::map<std::uint32_t, HostAddress> peers;
    for (const MemberSettings &member : settings.members) {
        if (member.number != ownNumber(settings)) {
            peers.emplace(member.number, member.rpc);
        }
    }
    return peers;
}

} // namespace cassiaroad
