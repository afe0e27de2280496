#pragma once

#include "version/leasecall.h"
#include "version/registrystate.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cassiaroad {

/** Durations of the calls that deliver leases. */
struct LeaseCallTiming
{
    Milliseconds leaseDuration { 4000 };
    Milliseconds renewInterval { 1000 };
    Milliseconds grantTimeout { 600 };
    // A release gets its response when the requests in progress have ended.
    Milliseconds releaseTimeout { 4000 };
    // A call without a response is sent once more after this time, beside the first.
    Milliseconds repeatInterval { 250 };

    bool operator==(const LeaseCallTiming &) const = default;
};

/** What the calls to one upstream are to achieve. */
struct LeaseTarget
{
    std::vector<RangeLease> leases; // that it is to have
    std::vector<ReleaseCall> releases; // of leases that it may have and is to release

    bool operator==(const LeaseTarget &) const = default;
};

/** A call that has ended. */
struct EndedLeaseCall
{
    LeaseCall call;
    TimePoint sentAt;

    bool operator==(const EndedLeaseCall &) const = default;
};

/**
 * Turns the leases that upstreams of one service are to have into calls: grants, renewals and
 * releases. It decides nothing about ownership. An upstream that does not respond delays no other.
 * Pure; not thread-safe.
 */
class LeaseCalls
{
public:
    explicit LeaseCalls(LeaseCallTiming timing)
        : timing(timing)
    { }

    /** Forgets all upstreams and open calls, at the start of a term of this leader. */
    void startTerm();

    /**
     * Handles a heartbeat of @p upstream. It proves which incarnation has the address, so grants
     * may be sent, until a connection fails: then another incarnation may have taken its place.
     */
    void onHeartbeat(const UpstreamIncarnation &upstream);

    /**
     * Sends no grants to @p upstream until its next heartbeat, because another incarnation may have
     * its address.
     */
    void suspend(const UpstreamIncarnation &upstream);

    /** Makes @p upstream due, because the leases that it is to have may have changed. */
    void wake(const UpstreamIncarnation &upstream);

    /** Returns the upstreams for which update() is to be called at @p now. */
    std::vector<UpstreamIncarnation> due(TimePoint now) const;

    /**
     * Returns the calls to send to @p upstream at @p now. @p nextNumber is the number of the first
     * one, and is increased by their count.
     */
    std::vector<LeaseCall> update(const SiteUpstream &upstream, const LeaseTarget &target,
                                  std::uint64_t &nextNumber, TimePoint now);

    /** Handles the end of call @p number. Returns nothing for a call of an earlier term. */
    std::optional<EndedLeaseCall> end(std::uint64_t number, const LeaseCallResult &result);

    /** Forgets an upstream that is no longer registered. */
    void forget(const UpstreamIncarnation &upstream) { this->upstreams.erase(upstream); }

    /** Number of open calls. */
    std::size_t openCount() const { return this->open.size(); }

private:
    using Subject = std::pair<KeyRange, FencingToken>;

    /** The calls for one lease. */
    struct Progress
    {
        TimePoint lastSentAt; // of the last call
        TimePoint acceptedAt; // when the last call that was accepted had been sent
        std::set<std::uint64_t> open; // numbers of the calls without a result
        bool accepted = false;
        bool refused = false; // the upstream has seen a higher fencing token
    };

    struct UpstreamCalls
    {
        std::map<Subject, Progress> grants;
        std::map<Subject, Progress> releases;
        bool mayGrant = false; // see onHeartbeat()
        TimePoint wakeAt; // when update() is to be called
    };

    struct ResultVisitor;

    bool hasOpenGrant(const UpstreamCalls &calls, const KeyRange &range) const;
    bool canSend(const Progress &progress, TimePoint now) const;
    TimePoint nextGrantAt(const Progress &progress) const;
    LeaseCall start(const SiteUpstream &upstream, Progress &progress, LeaseCallBody body,
                    std::uint64_t &nextNumber, TimePoint now);
    TimePoint nextUpdateAt(const UpstreamCalls &calls, TimePoint now) const;

    LeaseCallTiming timing;
    std::map<UpstreamIncarnation, UpstreamCalls> upstreams;
    std::map<std::uint64_t, EndedLeaseCall> open; // by number
};

} // namespace cassiaroad
