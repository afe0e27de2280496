#pragma once

#include "process/replica.h"

#include <string>
#include <vector>

namespace cassiaroad {

/**
 * Describes the membership of a replica in log lines: the voters whenever they change, and what the
 * member waits for, each second while it waits. Pure; not thread-safe.
 */
class MembershipLog
{
public:
    /** Returns the lines that are due. Expected after each step of @p replica. */
    std::vector<std::string> update(const Replica &replica, TimePoint now);

private:
    std::string describeVoters(const Replica &replica);
    std::string describeWait(const ReplicaWait &wait, TimePoint now) const;

    std::vector<MemberId> voters; // as last described
    std::optional<ReplicaWait::Reason> reason; // of the present wait
    TimePoint waitingSince;
    TimePoint nextLineAt;
};

} // namespace cassiaroad
