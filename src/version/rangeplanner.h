#pragma once

#include "version/keyload.h"
#include "version/rangetable.h"

#include <map>
#include <optional>

namespace cassiaroad {

/** An upstream as the planner sees it. */
struct RangeHolder
{
    UpstreamIncarnation life;
    std::uint32_t slots = 1;
    double serviceMilliseconds = 100.0; // that one request takes
    Milliseconds nextReport { 0 }; // until its next heartbeat is expected
    bool receives = false; // is ready, and its heartbeats arrive
    bool isSettling = false; // is already getting keys whose load is not known yet

    bool operator==(const RangeHolder &) const = default;
};

/** Keys of one service, their load and the upstreams that may hold them. Views; see RangePlanner.
 */
struct PlacementView
{
    const RangeTable &table;
    const KeyLoad &load;
    const std::vector<RangeHolder> &holders;
};

/**
 * Decides which upstream is to hold which keys. The load of an upstream is the share of its slots
 * that the requests for its keys keep busy. Pure; the view must be valid during a call.
 */
class RangePlanner
{
public:
    explicit RangePlanner(const PlacementView &view);

    /** Whether relieve() may return something for @p from: it is busy, or a newcomer waits. */
    bool mayRelieve(const UpstreamIncarnation &from) const;

    /** Splits all keys evenly by slots. Precondition: a holder receives. */
    static std::vector<RangeTransfer> firstAssignment(const std::vector<RangeHolder> &holders);

    /** Gives each of @p ranges, whose holder is leaving or lost, to the others. */
    std::vector<RangeTransfer> replaceHolder(const std::vector<KeyRange> &ranges);

    /**
     * Returns who is to get @p range, which @p from has released; @p planned was chosen when the
     * release began. Nothing if nobody receives.
     */
    std::optional<UpstreamIncarnation> receiverOf(const KeyRange &range,
                                                  const UpstreamIncarnation &from,
                                                  const UpstreamIncarnation &planned);

    /**
     * Returns a range that @p from is to give away so that the load is spread better, or nothing.
     * An upstream without keys gets some first. Keys that were moved cost a warm cache, so a small
     * imbalance is left alone.
     */
    std::optional<RangeTransfer> relieve(const UpstreamIncarnation &from);

private:
    struct HolderLoad
    {
        RangeHolder holder;
        double rate = 0.0; // requests per second
        std::uint32_t keys = 0;

        double busy(double extraRate) const;
        double cost(double extraRate) const;
        double roomFor(double target) const;
    };

    HolderLoad *find(const UpstreamIncarnation &life);
    const HolderLoad *newcomer() const;
    HolderLoad *bestReceiver(double extraRate, const UpstreamIncarnation &except);
    std::optional<KeyRange> rangeWithRate(const UpstreamIncarnation &owner, double rate) const;
    std::optional<RangeTransfer> moveHotKey(const HolderLoad &giver);
    std::optional<RangeTransfer> feedNewcomer(const HolderLoad &giver, const HolderLoad &newcomer);
    double meanBusy() const;
    bool isCrowded(double busy, double mean) const;

    PlacementView view;
    std::vector<HolderLoad> loads;
    std::map<UpstreamIncarnation, std::size_t> positions; // in `loads`
};

} // namespace cassiaroad
