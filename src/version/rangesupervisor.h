#pragma once

#include "version/holdledger.h"
#include "version/rangeplanner.h"
#include "version/registrystate.h"
#include "version/routingtable.h"
#include "version/upstreammonitor.h"

#include <optional>
#include <set>

namespace cassiaroad {

/** Durations that decide when ranges change their owners. */
struct RangeTiming
{
    Milliseconds heartbeat { 1000 };
    Milliseconds release { 150 }; // from an answer without a range to its next owner's commit
    Milliseconds commit { 40 };
    // How long an upstream that has announced its end still gets requests for keys that no other
    // upstream has taken over.
    Milliseconds leavingGracePeriod { 1500 };
    Milliseconds betweenMoves { 700 }; // of one upstream

    bool operator==(const RangeTiming &) const = default;
};

/** What the supervisor of one service decides with. Views that outlive the call. */
struct RangeContext
{
    const RegistryState &state;
    const UpstreamMonitor &monitor;
    const HoldLedger &ledger;
    TimePoint now;
};

/**
 * Leader's decisions about the key ranges of one service: which upstream is to hold them, when an
 * owner releases a range, and when the next owner may take over. Pure; not thread-safe.
 */
class RangeSupervisor
{
public:
    RangeSupervisor(std::string service, RangeTiming timing);

    void startTerm();

    /** Adds requests for a key. */
    void addLoad(KeyNumber key, std::uint32_t requests, TimePoint now);

    /**
     * Decides which ranges @p life releases with the answer to its heartbeat and returns everything
     * that it is to hold.
     */
    std::vector<RangeLease> answer(const UpstreamIncarnation &life, const RangeContext &context);

    /** Notes that @p life has announced its end. */
    void noteLeaving(const UpstreamIncarnation &life, TimePoint now)
    {
        this->leavingSince.try_emplace(life, now);
    }

    /** Notes the handovers that @p life has reported. */
    void noteReleases(const UpstreamIncarnation &life, const std::vector<RangeRelease> &releases);

    /**
     * Returns the transfers that may be committed now; empty while earlier ones are not committed.
     * Each range in it has no holder any more.
     */
    std::vector<RangeTransfer> dueTransfers(const RangeContext &context);

    /** The transfers were committed, or will never be. */
    void transfersEnded() { this->transfersInFlight.clear(); }

    /** Number of changes of what routedRanges() returns, apart from commits and first grants. */
    std::uint64_t changeCount() const { return this->changes; }
    /** Whether @p life was told to release a range. */
    bool isReleasingFrom(const UpstreamIncarnation &life) const;

    /** Appends the ranges as gateways are to see them. */
    std::vector<RoutedRange> routedRanges(const RangeContext &context) const;

private:
    /** A range that its owner was told to release. */
    struct ReleasingRange
    {
        KeyRange range;
        UpstreamIncarnation from;
        UpstreamIncarnation to;
    };

    /** A released range and what its last holder passed on. */
    struct Handover
    {
        UpstreamIncarnation from;
        RangeRelease release;
    };

    std::vector<RangeHolder> holders(const RangeContext &context, Milliseconds earliest) const;
    const RangeTable *table(const RangeContext &context) const;
    bool isUsable(const UpstreamIncarnation &life, const RangeContext &context) const;
    void planReleases(const UpstreamIncarnation &life, const RangeContext &context);
    void releaseAll(const UpstreamIncarnation &life, const RangeContext &context);
    std::vector<RangeTransfer> firstTransfers(const RangeContext &context) const;
    std::vector<RangeTransfer> finishedReleases(const RangeContext &context);
    std::vector<RangeTransfer> lostRanges(const RangeContext &context) const;
    void findCrowded(const RangeContext &context);
    std::string handoverOf(const UpstreamIncarnation &from, const KeyRange &range) const;
    bool isMoving(const KeyRange &range) const;
    std::vector<KeyRange> keptParts(const RangeOwner &entry) const;
    RangePhase phaseOf(const RangeOwner &entry, const RangeContext &context) const;

    std::string service;
    RangeTiming timing;
    KeyLoad load;
    std::vector<ReleasingRange> releasing;
    std::vector<Handover> handovers;
    std::map<UpstreamIncarnation, TimePoint> leavingSince;
    std::map<UpstreamIncarnation, TimePoint> lastMove;
    std::set<UpstreamIncarnation> crowded; // that may have to give keys away
    TimePoint crowdedAt; // when they were found
    TimePoint plannedAt; // when a release was last looked for
    std::uint64_t changes = 0;
    // Proposed and not yet committed. Nobody is granted their ranges meanwhile.
    std::vector<RangeTransfer> transfersInFlight;
};

} // namespace cassiaroad
