#pragma once

#include "version/leadercontext.h"

#include <map>
#include <string>

namespace cassiaroad {

/**
 * Registers upstreams, replies to their announcements with leases and grants, and detects that they
 * become unavailable, fail or recover. Not thread-safe.
 */
class UpstreamSupervisor
{
public:
    /** @p context must outlive the supervisor. */
    explicit UpstreamSupervisor(LeaderContext &context);

    /** Forgets announcements and reported releases, for a new term of leadership. */
    void reset();

    /** Replies to an announcement. Requires a valid leader lease. */
    void onAnnounceRequested(const AnnounceRequested &event);

    /**
     * Proposes changes of state that follow from expired leases or from reports of entry hosts, and
     * the removal of upstreams that are lost and own nothing.
     */
    void step();

    /** Whether the owner has reported that it released the shard or key at this epoch. */
    bool isReleased(const RouteSubject &subject, Epoch epoch) const;

    /**
     * Whether first owners of a service can be chosen: once the delay for the initial assignment
     * (2 s by default) has passed since its first announcement.
     */
    bool isAssignmentDue(const std::string &service) const;

private:
    /** Returns why an announcement is refused; empty: it is accepted. */
    std::string refusal(const AnnounceRequested &event) const;

    /** Renews the lease of a registered instance and replies with its grants. */
    void answerRegistered(const AnnounceRequested &event, const UpstreamEntry &entry);

    /** Records the reported releases that match the present owner and epoch. */
    void recordReleased(const AnnounceRequested &event);
    void proposeChange(const UpstreamEntry &entry, const Upstream &upstream, UpstreamState state);
    void superviseUpstream(const UpstreamEntry &entry);

    /** Suspects an upstream that entry hosts see failing, or clears the suspicion. */
    void superviseHealth(const UpstreamEntry &entry);

    /** Whether another upstream of the service can be suspected within the limit eject-percent. */
    bool canEject(const std::string &service) const;

    /** Drops reported releases whose change of owner is complete. */
    void pruneReleased();

    LeaderContext &context;
    std::map<std::string, TimePoint> firstAnnouncements; // by service
    std::map<RouteSubject, Epoch> releasedSubjects; // releases that owners have reported
};

} // namespace cassiaroad
