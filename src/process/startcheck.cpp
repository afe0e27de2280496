#include "process/startcheck.h"

namespace cassiaroad {

namespace {

// A running member repeats its report to a silent peer rarely; one that waits, at each heartbeat.
constexpr std::int64_t heartbeatsBetweenLateReports = 10;

// Bounds the hard state of a member that starts over and over without reaching a peer.
constexpr std::size_t maxRememberedRuns = 64;

/** Whether a folder that remembers @p earlier may be the one that started @p known. */
bool mayFollow(const MemberRun &known, const std::vector<MemberRun> &earlier)
{
    // A peer that was away knows a run from before the first remembered one.
    return std::find(earlier.begin(), earlier.end(), known) != earlier.end()
           || (!earlier.empty() && known.startCounter < earlier.front().startCounter);
}

} // namespace

StartCheck::StartCheck(ReplicaState &state, Leadership &leadership)
    : state(state)
    , leadership(leadership)
    , earlierRuns(state.hard.ownRuns)
    , reportAt(state.now)
{
    this->rememberRun();
    const Configuration &configuration = state.log.configuration();
    if (state.isVoter() && configuration.majority() == 1) {
        this->finish({});
    }
}

void StartCheck::rememberRun()
{
    // The counter alone does not do: an old copy that starts several times catches up with it.
    std::vector<MemberRun> &runs = this->state.hard.ownRuns;
    if (runs.size() == maxRememberedRuns) {
        runs.erase(runs.begin() + 1);
    }
    runs.push_back(this->state.self);
    this->state.persistHardState();
}

bool StartCheck::isSettled() const
{
    // A new leader may not know a learner, and only a leader can tell a voter that it was replaced.
    return this->state.role == ReplicaRole::Leader
           || (this->state.role != ReplicaRole::Starting && this->state.leaderHeardRecently());
}

void StartCheck::tick()
{
    if (this->state.now < this->reportAt) {
        return;
    }
    const bool settled = this->isSettled();
    const bool waits = this->state.role == ReplicaRole::Starting
                       || (this->state.role == ReplicaRole::Learner && !settled);
    this->reportAt = this->state.now
                     + this->state.options.heartbeat * (waits ? 1 : heartbeatsBetweenLateReports);
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

bool StartCheck::admits(const MemberRun &run)
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
    // Otherwise the member may have been added by an entry that this one has not seen yet.
    return this->state.commitIndex > report.lastIndex
           || (this->leadership.hasLease(this->state.now) && !this->state.isVoter(run.member));
}

bool StartCheck::isOld(const MemberRun &run, const StartReport &report) const
{
    const MemberRun *known = this->state.knownRun(run.member);
    if (known != nullptr && run != *known
        && (run.startCounter <= known->startCounter || !mayFollow(*known, report.earlierRuns))) {
        return true;
    }
    return this->isReplaced(run, report) || this->leadership.hasAcknowledgedMore(run, report);
}

std::optional<StartVerdict> StartCheck::judge(const MemberRun &run, const StartReport &report)
{
    if (report.term > this->state.hard.term && this->state.role != ReplicaRole::Starting) {
        this->state.follow(report.term, std::nullopt);
    }
    if (this->isOld(run, report)) {
        return StartVerdict::Old;
    }
    const bool leads = this->state.role == ReplicaRole::Leader;
    if (leads && report.voter && !this->state.isVoter(run.member)) {
        return std::nullopt;
    }
    const MemberRun *known = this->state.knownRun(run.member);
    const bool firstReport = known == nullptr || *known != run;
    this->state.recordRun(run);
    if (leads) {
        this->leadership.memberStarted(run, report.lastIndex);
        return StartVerdict::Accepted;
    }
    if (firstReport && this->state.leader == run.member) {
        this->state.leader.reset();
    }
    return this->state.leader && this->state.leaderHeardRecently() ? StartVerdict::AskLeader
                                                                   : StartVerdict::Accepted;
}

void StartCheck::onReport(const MemberRun &from, const StartReport &report)
{
    const std::vector<std::uint32_t> &members = this->state.options.members;
    if (from.member.number == this->state.self.member.number
        || std::find(members.begin(), members.end(), from.member.number) == members.end()) {
        return;
    }
    const std::optional<StartVerdict> verdict = this->judge(from, report);
    if (!verdict) {
        return;
    }
    const bool leads = this->state.role == ReplicaRole::Leader;
    this->state.outbox.sendWhenSynced(
            from.member,
            StartReply { from, *verdict, this->state.hard.term, leads, this->state.isVoter() });
    if (!this->recordedBy.contains(from.member)) {
        this->report(from.member);
    }
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
    if (this->state.role != ReplicaRole::Starting || reply.verdict != StartVerdict::Accepted) {
        return false;
    }
    // The own log may lack the entry that made the peer a voter. A peer that is none has not
    // caught up with the group and may not know the latest runs.
    if (reply.voter || this->state.isVoter(from.member)) {
        this->acceptedBy.insert(from.member);
    }
    const std::size_t needed
            = this->state.isVoter() ? this->state.log.configuration().majority() : 2;
    const bool done = 1 + this->acceptedBy.size() >= needed;
    if (done) {
        this->finish(reply);
    }
    return false;
}

void StartCheck::finish(const StartReply &reply)
{
    this->state.hard.ownRuns = { this->state.self };
    this->state.persistHardState();
    // A vote given before the folder was copied is unknown here. Voting for itself keeps the member
    // from voting a second time in a term that a peer has reached.
    const Term term = std::max(reply.term, this->state.hard.term);
    if (term > this->state.hard.term || !this->state.hard.vote) {
        this->state.setVote(term, this->state.self.member);
    }
    this->state.role = ReplicaRole::Follower;
    this->state.updateRole();
    this->state.resetElectionTimer();
}

} // namespace cassiaroad
