#pragma once

#include "version/leadercontext.h"

#include <map>
#include <string>

namespace cassiaroad {

/**
 * Registers upstreams, answers their announcements with leases and grants, and detects their loss,
 * failure and return. Not thread-safe.
 */
class UpstreamSupervisor
{
public:
    /** @p context must outlive the supervisor. */
    explicit UpstreamSupervisor(LeaderContext &context);

    void reset();

    /** Answers an announcement. Requires a valid leader lease. */
    void announced(const AnnounceRequested &event);

    /** Proposes changes of state that time or reports of entry hosts bring about. */
    void step();

    /** Whether the owner has reported that it let go of a subject at this epoch. */
    bool released(const RouteSubject &subject, Epoch epoch) const;

    /** Whether first owners of a service may be chosen: 2 s after its first announcement. */
    bool assignmentDue(const std::string &service) const;

private:
    std::string refusal(const AnnounceRequested &event) const;
    void accept(const AnnounceRequested &event, const UpstreamEntry &entry);
    void noteReleased(const AnnounceRequested &event);
    void change(const UpstreamEntry &entry, const Upstream &upstream, UpstreamState state);
    void superviseOne(const UpstreamEntry &entry);
    void superviseFailing(const UpstreamEntry &entry);
    bool mayEject(const std::string &service) const;
    void dropReleased();

    LeaderContext &context;
    std::map<std::string, TimePoint> firstAnnouncements;
    std::map<RouteSubject, Epoch> releasedSubjects;
};

} // namespace cassiaroad
