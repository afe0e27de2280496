#pragma once

#include "version/keyload.h"
#include "version/rangetable.h"

#include <map>
#include <optional>

namespace cassiaroad {

/** An upstream that may own keys, as the planner sees it. */
struct PlacementCandidate
{
    UpstreamIncarnation incarnation;
    std::uint32_t slots = 1;
    double serviceMilliseconds = 100.0; // duration of one request at the upstream
    Milliseconds timeToNextHeartbeat { 0 }; // as expected
    bool canReceiveKeys = false; // is ready, and its heartbeats arrive
    bool hasIncomingKeys = false; // keys are being moved to it; their load is not counted yet

    bool operator==(const PlacementCandidate &) const = default;
};

/** Keys of one service, their load and the upstreams that may own them. Non-owning references. */
struct PlacementView
{
    const RangeTable &table;
    const KeyLoad &load;
    const std::vector<PlacementCandidate> &placementCandidates;
};

/**
 * Decides which upstream is to own which keys. The utilization of an upstream is the share of its
 * slots that the requests for its keys use. Pure; what the view refers to must outlive the planner.
 */
class RangePlanner
{
public:
    /**
     * Number of ranges up to which an upstream may be a target, since a response to a heartbeat has
     * at most 4 KiB. Keys without an owner go to the upstream with the fewest ranges if all have as
     * many.
     */
    static constexpr std::size_t maxRangesPerOwner = 24;

    explicit RangePlanner(const PlacementView &view);

    /**
     * Whether relieve() may return a transfer for @p from: it is overloaded, or at least as busy as
     * the mean while an upstream has no keys.
     */
    bool canRelieve(const UpstreamIncarnation &from) const;

    /**
     * Splits all keys among @p placementCandidates in proportion to their slots. Precondition: one
     * of them can receive keys.
     */
    static std::vector<RangeTransfer> firstAssignment(
            const std::vector<PlacementCandidate> &placementCandidates);

    /** Returns transfers of @p ranges, whose owner leaves or is unavailable, to other upstreams. */
    std::vector<RangeTransfer> replaceOwner(const std::vector<KeyRange> &ranges);

    /**
     * Returns the new owner of @p range, which @p from has released; @p planned was chosen when the
     * release began. Returns nothing if no other upstream can receive keys.
     */
    std::optional<UpstreamIncarnation> targetOf(const KeyRange &range,
                                                const UpstreamIncarnation &from,
                                                const UpstreamIncarnation &planned);

    /**
     * Returns a transfer of keys away from @p from that spreads the load better, or nothing. An
     * upstream without keys is preferred as the target. Moved keys lose their warm cache, so a
     * small imbalance is tolerated. The source ends up with at most `maxRangesPerOwner` ranges.
     */
    std::optional<RangeTransfer> relieve(const UpstreamIncarnation &from);

private:
    struct CandidateLoad
    {
        PlacementCandidate candidate;
        double rate = 0.0; // requests per second for its keys
        std::uint32_t keys = 0; // number of keys that it owns
        std::size_t ranges = 0; // number of ranges that these are in

        double utilization(double extraRate) const;
        double cost(double extraRate) const;
        double spareRate(double maxUtilization) const;
    };

    CandidateLoad *find(const UpstreamIncarnation &incarnation);
    const CandidateLoad *newUpstream() const;
    CandidateLoad *targetInNeed(double extraRate, const UpstreamIncarnation &excluded);
    KeyNumber endOfPart(const KeyRange &range, const CandidateLoad &target) const;
    bool addsRange(const KeyRange &range) const;
    std::optional<RangeTransfer> planRelief(const CandidateLoad &source);
    CandidateLoad *bestTarget(double extraRate, const UpstreamIncarnation &excluded);
    std::optional<KeyRange> rangeWithRate(const UpstreamIncarnation &owner, double rate) const;
    std::optional<RangeTransfer> moveHotKey(const CandidateLoad &source);
    std::optional<RangeTransfer> assignToNewUpstream(const CandidateLoad &source,
                                                     const CandidateLoad &newUpstream);
    double meanUtilization() const;
    bool isOverloaded(double utilization, double mean) const;

    PlacementView view;
    std::vector<CandidateLoad> loads;
    std::map<UpstreamIncarnation, std::size_t> positions; // in `loads`
};

} // namespace cassiaroad
