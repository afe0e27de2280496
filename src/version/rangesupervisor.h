#pragma once

#include "version/leasecall.h"
#include "version/movingranges.h"
#include "version/rangeleasetable.h"
#include "version/rangeplanner.h"
#include "version/registrystate.h"
#include "version/routingtable.h"
#include "version/upstreammonitor.h"

#include <optional>
#include <set>

namespace cassiaroad {

/** Durations that determine when ranges change their owners. */
struct RangeTiming
{
    Milliseconds heartbeatInterval { 1000 }; // of upstreams
    Milliseconds release { 150 }; // from a response without a range to the commit of its next owner
    Milliseconds commitDuration { 40 }; // from the proposal of a transfer to its commit
    // How long an upstream that has announced its shutdown still receives requests for keys without
    // another owner.
    Milliseconds leavingGracePeriod { 1500 };
    Milliseconds minMoveInterval { 700 }; // between two moves away from one upstream
    // From a commit until a call has delivered the lease. Nothing: heartbeats deliver leases.
    std::optional<Milliseconds> callDuration;

    bool operator==(const RangeTiming &) const = default;
};

/** Input of the decisions of a RangeSupervisor. The references must be valid during the call. */
struct RangeContext
{
    const RegistryState &state;
    const UpstreamMonitor &monitor;
    const RangeLeaseTable &rangeLeases;
    TimePoint now;
};

/**
 * Decisions of the leader about the key ranges of one service: which upstream is to own them, when
 * an owner releases a range, and when the range may be transferred to the next owner. Pure; not
 * thread-safe.
 */
class RangeSupervisor
{
public:
    RangeSupervisor(std::string service, RangeTiming timing);

    /** Clears everything but the load, at the start of a term of this leader. */
    void startTerm();

    /**
     * Restricts the owners of keys to upstreams of @p zones, unless none of them is available.
     * Nothing: any zone.
     */
    void setHomeZones(std::optional<std::set<std::string>> zones)
    {
        this->homeZones = std::move(zones);
    }

    /** Adds @p requests for @p key to the load. */
    void addLoad(KeyNumber key, std::uint32_t requests, TimePoint now);

    /**
     * Returns all leases that @p incarnation is to have, for the response to a heartbeat or for
     * calls. First decides which ranges it has to release; these are not among the leases.
     */
    std::vector<RangeLease> leasesFor(const UpstreamIncarnation &incarnation,
                                      const RangeContext &context);

    /** Returns the leases, or parts of them, that @p incarnation has to release. */
    std::vector<ReleaseCall> releasesOf(const UpstreamIncarnation &incarnation,
                                        const RangeContext &context) const;

    /**
     * Records that an upstream has refused a lease with @p fence. Its range gets a higher fencing
     * token.
     */
    void recordRefused(FencingToken fence) { this->refused.insert(fence); }

    /** Records that @p incarnation has announced its shutdown. */
    void recordLeaving(const UpstreamIncarnation &incarnation, TimePoint now)
    {
        this->leavingSince.try_emplace(incarnation, now);
    }

    /** Records that @p incarnation does not leave: another writer has announced that. */
    void recordStaying(const UpstreamIncarnation &incarnation)
    {
        this->leavingSince.erase(incarnation);
    }

    /**
     * Returns transfers of the ranges of @p ended to the next incarnation of the same upstream, to
     * be committed at once. Returns nothing while earlier transfers are in flight; dueTransfers()
     * does it later. Precondition: RangeLeaseTable::recordEnded() was called for @p ended.
     */
    std::vector<RangeTransfer> succeed(const UpstreamIncarnation &ended,
                                       const UpstreamIncarnation &successor,
                                       const RangeContext &context);

    /** Records the handovers that @p incarnation has reported. */
    void recordReleases(const UpstreamIncarnation &incarnation,
                        const std::vector<RangeRelease> &releases);

    /**
     * Returns the transfers that may be committed now. No upstream has a valid lease on their
     * ranges any more. Returns nothing while earlier transfers are in flight, until
     * onTransfersEnded().
     */
    std::vector<RangeTransfer> dueTransfers(const RangeContext &context);

    /** Handles the end of the transfers in flight: they were committed, or never will be. */
    void onTransfersEnded() { this->moving.removeProposed(); }

    /** Number of changes of routedRanges() that neither a commit nor a first lease caused. */
    std::uint64_t changeCount() const { return this->changes; }
    /** Whether @p incarnation has to release a range, and the release is not finished. */
    bool isReleasingFrom(const UpstreamIncarnation &incarnation) const
    {
        return this->moving.isReleasingFrom(incarnation);
    }

    /** Returns the ranges of the service for the routing table, ascending. */
    std::vector<RoutedRange> routedRanges(const RangeContext &context) const;

private:
    /** A released range with the handover of its previous owner. */
    struct Handover
    {
        UpstreamIncarnation from;
        RangeRelease release;
    };

    std::vector<PlacementCandidate> placementCandidates(const RangeContext &context,
                                                        Milliseconds minDelay) const;
    const RangeTable *table(const RangeContext &context) const;
    bool isUsable(const UpstreamIncarnation &incarnation, const RangeContext &context) const;
    bool isAtHome(const SiteUpstream &upstream) const;
    void checkHomeZones(const RangeContext &context);
    void planReleases(const UpstreamIncarnation &incarnation, const RangeContext &context);
    void releaseAll(const UpstreamIncarnation &incarnation, const RangeContext &context);
    std::vector<RangeTransfer> firstTransfers(const RangeContext &context) const;
    std::vector<RangeTransfer> finishReleases(const RangeContext &context);
    std::vector<RangeTransfer> transfersOf(const std::vector<MovingRange> &released,
                                           const RangeContext &context) const;
    std::set<UpstreamIncarnation> receiversOfReleases() const;
    void recordProposed(const std::vector<RangeTransfer> &transfers, const RangeTable *ranges);
    std::vector<RangeTransfer> replaceUnavailableOwners(const std::vector<RangeTransfer> &others,
                                                        const RangeContext &context) const;
    std::vector<RangeTransfer> renewRefused(const RangeContext &context);
    bool canConfirmRelease(const RangeOwner &entry, const RangeContext &context) const;
    void findOverloaded(const RangeContext &context);
    std::string handoverOf(const UpstreamIncarnation &from, const KeyRange &range) const;
    RangePhase phaseOf(const RangeOwner &entry, const RangeContext &context) const;

    std::string service;
    RangeTiming timing;
    std::optional<std::set<std::string>> homeZones;
    bool hasUpstreamAtHome = false; // one that may be given work and is not silent
    KeyLoad load;
    // No upstream is granted a lease on these ranges meanwhile.
    MovingRanges moving;
    std::vector<Handover> handovers;
    std::map<UpstreamIncarnation, TimePoint> leavingSince;
    std::map<UpstreamIncarnation, TimePoint> lastMoveAt;
    std::set<FencingToken> refused; // by their upstreams; a transfer is to replace them
    std::set<UpstreamIncarnation> overloaded; // RangePlanner::canRelieve() was true for them
    TimePoint overloadCheckedAt; // when `overloaded` was updated
    TimePoint plannedAt; // time of the last search for a range to release
    std::uint64_t changes = 0;
};

} // namespace cassiaroad
