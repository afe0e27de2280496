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
    Milliseconds longest { 4200 }; // of one answer, on the clock of the leader

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
    void setFenceAtStart(const std::string &service, Fence fence);

    /** A heartbeat with @p sequence, which is above all earlier ones of the life. */
    void noteReport(const UpstreamLife &life, std::uint64_t sequence,
                    const std::vector<RangeHold> &holds);

    /**
     * The heartbeat with @p sequence is being answered with @p holds. Returns whether one of them
     * is granted for the first time in this term.
     */
    bool noteAnswer(const UpstreamLife &life, std::uint64_t sequence,
                    const std::vector<RangeHold> &holds, TimePoint now);

    /** Drops what is known of a life that has ended. */
    void forget(const UpstreamLife &life) { this->lives.erase(life); }

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
        std::map<Fence, TimePoint> grantedUntil;
        std::vector<RangeHold> lastAnswer;
        std::vector<RangeHold> answerBeforeReport; // the last one before the last report
        std::vector<RangeHold> lastReport;
        std::uint64_t answeredSequence = 0;
        bool answered = false;
        bool reportedAfterAnswer = false;
    };

    bool mayHold(const std::string &service, const RangeOwner &owner, const LifeHolds *holds,
                 TimePoint now) const;

    HoldTimes times;
    TimePoint termStart;
    std::map<std::string, Fence> fencesAtStart;
    std::map<UpstreamLife, LifeHolds> lives;
};

} // namespace cassiaroad
