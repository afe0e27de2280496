#include "cassiaroad/membershiplog.h"

#include <sstream>

namespace cassiaroad {

namespace {

constexpr Milliseconds waitLineInterval { 1000 };

std::string join(const std::vector<std::uint32_t> &slots)
{
    std::string text;
    for (const std::uint32_t slot : slots) {
        text += (text.empty() ? "" : " ") + std::to_string(slot);
    }
    return text.empty() ? "none" : text;
}

const char *describe(ReplicaWait::Reason reason)
{
    switch (reason) {
    case ReplicaWait::Reason::StartConfirmation:
        return "confirmations of its start";
    case ReplicaWait::Reason::Votes:
        return "votes";
    case ReplicaWait::Reason::Promotion:
        return "the leader to make it a voter";
    case ReplicaWait::Reason::Learners:
        return "learners to catch up";
    }
    return "";
}

} // namespace

std::vector<std::string> MembershipLog::update(const Replica &replica, TimePoint now)
{
    std::vector<std::string> lines;
    if (replica.configuration().voters != this->voters) {
        lines.push_back(this->describeVoters(replica));
    }
    const std::optional<ReplicaWait> wait = replica.wait();
    const std::optional<ReplicaWait::Reason> present
            = wait ? std::optional(wait->reason) : std::nullopt;
    if (present != this->reason) {
        this->reason = present;
        this->waitingSince = now;
        this->nextLineAt = now + waitLineInterval;
    }
    if (wait && now >= this->nextLineAt) {
        this->nextLineAt = now + waitLineInterval;
        lines.push_back(this->describeWait(*wait, now));
    }
    return lines;
}

// The incarnation tells a member from one that had its slot before.
std::string MembershipLog::describeVoters(const Replica &replica)
{
    this->voters = replica.configuration().voters;
    std::ostringstream text;
    text << "voters are";
    for (const MemberId &voter : this->voters) {
        text << ' ' << voter.number << '/' << std::hex << voter.incarnation << std::dec;
    }
    text << (replica.configuration().contains(replica.id()) ? "; this member votes"
                                                            : "; this member does not vote")
         << "; last entry " << replica.lastIndex();
    return text.str();
}

std::string MembershipLog::describeWait(const ReplicaWait &wait, TimePoint now) const
{
    std::ostringstream text;
    text << "has waited " << (now - this->waitingSince).count << " ms for "
         << describe(wait.reason);
    if (wait.needed > 0) {
        text << ": " << wait.needed << " needed, received from " << join(wait.received)
             << ", missing " << join(wait.missing);
    } else if (!wait.missing.empty()) {
        text << ": " << join(wait.missing) << ", up to " << wait.entriesBehind << " entries behind";
    }
    return text.str();
}

} // namespace cassiaroad
