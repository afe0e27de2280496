#include "cassiaroad/membersettings.h"

namespace cassiaroad {

ReplicaOptions replicaOptions(const Settings &settings)
{
    ReplicaOptions options;
    for (const MemberSettings &member : settings.members) {
        options.members.push_back(member.number);
    }
    options.heartbeat = settings.timing.heartbeat;
    options.electionMin = settings.timing.electionMin;
    options.electionMax = settings.timing.electionMax;
    options.leaderLease = settings.timing.leaderLease;
    options.entriesKeptBehindSnapshot = std::get<ControlSettings>(settings.role).entriesKept;
    if (settings.region != settings.group) {
        // The tie-breaking member stands in another region.
        options.electionDelay = settings.timing.electionMax - settings.timing.electionMin;
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
