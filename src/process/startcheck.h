#pragma once

#include "process/leadership.h"

#include <set>

namespace cassiaroad {

/**
 * Tells old copies of a data folder apart. After each start a member reports its run to its peers
 * and takes part only when a majority, itself included, has accepted it.
 */
class StartCheck
{
public:
    StartCheck(ReplicaState &state, Leadership &leadership);

    /** Sends the report to peers that have not answered. */
    void tick();
    void onReport(const MemberRun &from, const StartReport &report);
    /** Returns whether the own folder is old. */
    bool onReply(const MemberRun &from, const StartReply &reply);
    TimePoint nextDeadline() const { return this->reportAt; }
    /** Whether messages of @p run count: those of earlier runs may acknowledge what is lost. */
    bool admits(const MemberRun &run);

private:
    void report(const MemberId &to);
    bool isSettled() const;
    void rememberRun();
    bool isOld(const MemberRun &run, const StartReport &report) const;
    bool isReplaced(const MemberRun &run, const StartReport &report) const;
    /** Nothing if this member leads but cannot tell yet; the report will come again. */
    std::optional<StartVerdict> judge(const MemberRun &run, const StartReport &report);
    void finish(const StartReply &reply);

    ReplicaState &state;
    Leadership &leadership;
    std::vector<MemberRun> earlierRuns; // as of the start
    std::set<MemberId> recordedBy; // peers that have stored this run
    std::set<MemberId> acceptedBy; // those of them that are voters and found no fault
    TimePoint reportAt;
};

} // namespace cassiaroad
