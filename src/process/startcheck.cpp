#include "process/startcheck.h"

#include <tuple>

namespace cassiaroad {

namespace {

// Interval at which a member repeats its report to a peer that does not reply, in heartbeats. A
// member that waits for the replies repeats it at each heartbeat instead.
constexpr std::int64_t heartbeatsBetweenRepeatedReports = 10;

// Limits the size of the hard state of a member that restarts repeatedly without reaching a peer.
constexpr std::size_t maxOwnRuns = 64;

/** Whether a data folder with the runs @p earlier can be the one that was used for run @p known. */
bool canFollow(const MemberRun &known, const std::vector<MemberRun> &earlier)
{
    // A peer that was unavailable may know a run from before the first one in the list.
    return std::find(earlier.begin(), earlier.end(), known) != earlier.end()
           || (!earlier.empty() && known.startCounter < earlier.front().startCounter);
}

} // namespace

StartCheck::StartCheck(ReplicaState &state, Leadership &leadership)
    : state(state)
    , leadership(leadership)
    , earlierRuns(state.hard.ownRuns)
    , newestConfiguration(state.log.latestConfiguration())
    , nextReportAt(state.now)
{
    this->recordOwnRun();
    const Configuration &configuration = state.log.configuration();
    if (state.isVoter() && configuration.majority() == 1) {
        this->finish();
    }
}

void StartCheck::recordOwnRun()
{
    // The start counter alone is not enough: that of a stale copy catches up after several starts.
    std::vector<MemberRun> &runs = this->state.hard.ownRuns;
    if (runs.size() == maxOwnRuns) {
        runs.erase(runs.begin() + 1);
    }
    runs.push_back(this->state.self);
    this->state.persistHardState();
}

bool StartCheck::isSettled() const
{
    // Without a leader the reports go on: a new leader may not know a learner, and only a leader
    // can notify a voter that it was replaced.
    return this->state.role == ReplicaRole::Leader
           || (this->state.role != ReplicaRole::Starting && this->state.hasRecentLeaderContact());
}

void StartCheck::tick()
{
    if (this->state.now < this->nextReportAt) {
        return;
    }
    const bool settled = this->isSettled();
    const bool isWaiting = this->state.role == ReplicaRole::Starting
                           || (this->state.role == ReplicaRole::Learner && !settled);
    this->nextReportAt = this->state.now
                         + this->state.options.heartbeatInterval
                                   * (isWaiting ? 1 : heartbeatsBetweenRepeatedReports);
    for (const std::uint32_t number : this->state.options.members) {
        const bool recorded
                = std::any_of(this->recordedBy.begin(), this->recordedBy.end(),
                              [&](const MemberId &peer) { return peer.number == number; });
        if (number != this->state.self.member.number && !(recorded && settled)) {
            this->report({ number, 0 });
        }
    }
}

void StartCheck::report(const MemberId &to)
{
    this->state.outbox.sendWhenSynced(to, StartReport { this->state.hard.term,
                                                        this->state.log.lastIndex(),
                                                        this->state.isVoter(), this->earlierRuns });
}

bool StartCheck::accepts(const MemberRun &run)
{
    const MemberRun *known = this->state.knownRun(run.member);
    if (known == nullptr) {
        this->state.recordRun(run);
        return true;
    }
    return *known == run;
}

bool StartCheck::isReplaced(const MemberRun &run, const StartReport &report) const
{
    const Configuration &committed = this->state.log.configurationAt(this->state.commitIndex);
    if (!report.voter || committed.contains(run.member)) {
        return false;
    }
    // Otherwise an entry that has not arrived here yet may have added the reporting member.
    return this->state.commitIndex > report.lastIndex
           || (this->leadership.hasLease(this->state.now) && !this->state.isVoter(run.member));
}

bool StartCheck::isStale(const MemberRun &run, const StartReport &report) const
{
    const MemberRun *known = this->state.knownRun(run.member);
    if (known != nullptr && run != *known
        && (run.startCounter <= known->startCounter || !canFollow(*known, report.earlierRuns))) {
        return true;
    }
    return this->isReplaced(run, report) || this->leadership.hasAcknowledgedMore(run, report);
}

std::optional<StartVerdict> StartCheck::evaluate(const MemberRun &run, const StartReport &report)
{
    if (report.term > this->state.hard.term && this->state.role != ReplicaRole::Starting) {
        this->state.follow(report.term, std::nullopt);
    }
    if (this->isStale(run, report)) {
        return StartVerdict::Old;
    }
    const bool isLeader = this->state.role == ReplicaRole::Leader;
    if (isLeader && report.voter && !this->state.isVoter(run.member)) {
        return std::nullopt;
    }
    const MemberRun *known = this->state.knownRun(run.member);
    const bool firstReport = known == nullptr || *known != run;
    this->state.recordRun(run);
    if (isLeader) {
        this->leadership.onMemberStarted(run, report.lastIndex);
        return StartVerdict::Accepted;
    }
    if (firstReport && this->state.leader == run.member) {
        this->state.leader.reset();
    }
    return this->state.leader && this->state.hasRecentLeaderContact() ? StartVerdict::AskLeader
                                                                      : StartVerdict::Accepted;
}

void StartCheck::onReport(const MemberRun &from, const StartReport &report)
{
    const std::vector<std::uint32_t> &members = this->state.options.members;
    if (from.member.number == this->state.self.member.number
        || std::find(members.begin(), members.end(), from.member.number) == members.end()) {
        return;
    }
    const std::optional<StartVerdict> verdict = this->evaluate(from, report);
    if (!verdict) {
        return;
    }
    const bool isLeader = this->state.role == ReplicaRole::Leader;
    this->state.outbox.sendWhenSynced(from.member,
                                      StartReply { from, *verdict, this->state.hard.term, isLeader,
                                                   this->state.isVoter(),
                                                   this->state.log.latestConfiguration() });
    if (!this->recordedBy.contains(from.member)) {
        this->report(from.member);
    }
}

void StartCheck::refuseFormerOwner(const MemberRun &from)
{
    this->state.outbox.sendWhenSynced(
            from.member, StartReply { from, StartVerdict::Old, this->state.hard.term, true, true,
                                      this->state.log.latestConfiguration() });
}

bool StartCheck::onReply(const MemberRun &from, const StartReply &reply)
{
    if (reply.run != this->state.self) {
        return false;
    }
    if (reply.verdict == StartVerdict::Old) {
        return true;
    }
    this->recordedBy.insert(from.member);
    if (this->state.role != ReplicaRole::Starting) {
        return false;
    }
    this->record(from.member, reply);
    if (this->isConfirmed()) {
        this->finish();
    }
    return false;
}

void StartCheck::record(const MemberId &peer, const StartReply &reply)
{
    this->highestTerm = std::max(this->highestTerm, reply.term);
    const SnapshotMeta &newest = this->newestConfiguration;
    if (std::tuple(reply.configuration.term, reply.configuration.index)
        > std::tuple(newest.term, newest.index)) {
        this->newestConfiguration = reply.configuration;
    }
    if (reply.voter) {
        this->votersByOwnLog.insert(peer);
    }
    if (reply.verdict == StartVerdict::AskLeader) {
        this->leftToLeaderBy[peer] = reply.term;
        return;
    }
    this->acceptedBy.insert(peer);
    if (reply.leader) {
        this->acceptingLeaderTerm = std::max(this->acceptingLeaderTerm.value_or(0), reply.term);
    }
}

// A peer that follows a leader of a later term than the one that has accepted the run still waits
// for that leader's decision.
bool StartCheck::hasConfirmed(const MemberId &peer) const
{
    const auto left = this->leftToLeaderBy.find(peer);
    return this->acceptedBy.contains(peer)
           || (left != this->leftToLeaderBy.end() && this->acceptingLeaderTerm
               && left->second <= *this->acceptingLeaderTerm);
}

// A peer that is not a voter has not caught up with the group and may not know the latest runs.
std::set<MemberId> StartCheck::confirmedBy() const
{
    std::set<MemberId> confirmed;
    for (const MemberId &peer : this->recordedBy) {
        const bool isVoter = this->votersByOwnLog.contains(peer) || this->state.isVoter(peer);
        if (isVoter && this->hasConfirmed(peer)) {
            confirmed.insert(peer);
        }
    }
    return confirmed;
}

// The log of this member and that of a voter that confirms may both lack the entry that made the
// voter one, while a third member has it. If power was lost just then, no others may be left.
bool StartCheck::isConfirmed() const
{
    if (1 + this->confirmedBy().size() >= this->confirmationsNeeded()) {
        return true;
    }
    const Configuration &newest = this->newestConfiguration.configuration;
    const auto confirmed
            = std::count_if(newest.voters.begin(), newest.voters.end(), [&](const MemberId &voter) {
                  return voter == this->state.self.member || this->hasConfirmed(voter);
              });
    return newest.contains(this->state.self.member)
           && static_cast<std::size_t>(confirmed) >= newest.majority();
}

std::size_t StartCheck::confirmationsNeeded() const
{
    return this->state.isVoter() ? this->state.log.configuration().majority() : 2;
}

ReplicaWait StartCheck::wait() const
{
    return this->state.waitFor(ReplicaWait::Reason::StartConfirmation, this->confirmationsNeeded(),
                               this->confirmedBy());
}

void StartCheck::finish()
{
    this->state.hard.ownRuns = { this->state.self };
    this->state.persistHardState();
    // If the folder is a copy, a vote of the original one may be unknown here. By voting for itself
    // the member avoids a second vote in a term that a peer has reached.
    const Term term = std::max(this->highestTerm, this->state.hard.term);
    if (term > this->state.hard.term || !this->state.hard.vote) {
        this->state.setVote(term, this->state.self.member);
    }
    this->state.role = ReplicaRole::Follower;
    this->state.updateRole();
    this->state.resetElectionTimer();
}

} // namespace cassiaroad
