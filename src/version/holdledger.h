#pragma once

#include "version/rangetable.h"
#include "version/upstreamreport.h"

#include <map>
#include <vector>

namespace cassiaroad {

/** How long upstreams hold what they were granted. */
struct HoldTimes
{
    Milliseconds hold { 4000 }; // of one answer, on the clock of the upstream
    Milliseconds holdOnLeaderClock { 4200 }; // of one answer, on the clock of the leader

    bool operator==(const HoldTimes &) const = default;
};

/**
 * What the leader knows of the holds that are in force. It proves that nobody holds a range before
 * the range gets another owner. Pure; not thread-safe.
 */
class HoldLedger
{
public:
    explicit HoldLedger(HoldTimes times)
        : times(times)
    { }

    /** Forgets everything: holds that earlier leaders granted may be in force from now on. */
    void startTerm(TimePoint now);

    /** Notes the fencing tokens that were in use when the term started. */
    void setFenceAtStart(const std::string &service, FencingToken fence);

    /** A heartbeat with @p sequence, which is above all earlier ones of the life. */
    void noteReport(const UpstreamIncarnation &life, std::uint64_t sequence,
                    const std::vector<RangeLease> &leases);

    /**
     * The heartbeat with @p sequence is being answered with @p leases. Returns whether one of them
     * is granted for the first time in this term.
     */
    bool recordResponse(const UpstreamIncarnation &life, std::uint64_t sequence,
                        const std::vector<RangeLease> &leases, TimePoint now);

    /** Drops what is known of a life that has ended. */
    void forget(const UpstreamIncarnation &life) { this->lives.erase(life); }

    /** Whether @p owner certainly does not hold @p range, a part of its entry, any more. */
    bool isReleased(const std::string &service, const RangeOwner &owner, const KeyRange &range,
                    TimePoint now) const;

    /** Whether the entry was granted to its owner in this term. */
    bool isGranted(const RangeOwner &owner) const;

    /** Whether the entry was committed after the term had started. */
    bool isFromThisTerm(const std::string &service, const RangeOwner &owner) const;

private:
    struct LifeHolds
    {
        std::map<FencingToken, TimePoint> grantedUntil;
        std::vector<RangeLease> lastAnswer;
        std::vector<RangeLease> answerBeforeReport; // the last one before the last report
        std::vector<RangeLease> lastReport;
        std::uint64_t answeredSequence = 0;
        bool answered = false;
        bool reportedAfterAnswer = false;
    };

    bool mayHold(const std::string &service, const RangeOwner &owner, const LifeHolds *leases,
                 TimePoint now) const;

    HoldTimes times;
    TimePoint termStart;
    std::map<std::string, FencingToken> fencesAtStart;
    std::map<UpstreamIncarnation, LifeHolds> lives;
};

} // namespace cassiaroad
