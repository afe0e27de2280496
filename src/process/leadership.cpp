#include "process/leadership.h"

#include <functional>

namespace cassiaroad {

void Leadership::begin()
{
    this->state.role = ReplicaRole::Leader;
    this->state.leader = this->state.self.member;
    this->leaderSince = this->state.now;
    this->pendingTransfer.reset();
    this->progress.clear();
    for (const MemberId &voter : this->state.log.configuration().voters) {
        if (voter != this->state.self.member) {
            this->progress.emplace(voter, Progress(voter, this->state.log.lastIndex()));
        }
    }
    this->append(NoOp {});
    this->noOpIndex = this->state.log.lastIndex();
    this->nextHeartbeatAt = this->state.now;
    this->tick();
}

void Leadership::tick()
{
    if (this->state.role != ReplicaRole::Leader) {
        return;
    }
    const TimePoint oldest = this->state.now - this->state.options.maxElectionTimeout;
    if (this->leaderSince <= oldest && !this->hasQuorumReplySince(oldest)) {
        this->state.follow(this->state.hard.term, std::nullopt);
        this->state.resetElectionTimer();
        return;
    }
    if (this->pendingTransfer && this->state.now >= this->pendingTransfer->deadline) {
        this->pendingTransfer.reset();
    }
    if (this->state.now >= this->nextHeartbeatAt) {
        this->nextHeartbeatAt = this->state.now + this->state.options.heartbeatInterval;
        for (auto &[id, peer] : this->progress) {
            peer.sendHeartbeat(this->state);
        }
    }
}

void Leadership::append(EntryPayload payload)
{
    const LogIndex index = this->state.log.lastIndex() + 1;
    this->state.log.append({ index, this->state.hard.term, std::move(payload) });
    this->state.outbox.persistFrom(index);
}

void Leadership::sendEntries()
{
    for (auto &[id, peer] : this->progress) {
        peer.sendEntries(this->state);
    }
}

ProposalResult Leadership::propose(std::vector<std::string> commands)
{
    if (this->state.role != ReplicaRole::Leader) {
        return ProposalRefusal::NotLeader;
    }
    if (this->pendingTransfer) {
        return ProposalRefusal::Transferring;
    }
    const ProposalAccepted accepted { this->state.log.lastIndex() + 1, this->state.hard.term };
    for (std::string &command : commands) {
        this->append(CommandBytes { std::move(command) });
    }
    this->sendEntries();
    return accepted;
}

void Leadership::onAppendReply(const MemberRun &from, const AppendReply &reply)
{
    if (reply.term > this->state.hard.term) {
        this->state.follow(reply.term, std::nullopt);
        return;
    }
    const auto peer = this->progress.find(from.member);
    if (this->state.role != ReplicaRole::Leader || reply.term != this->state.hard.term
        || peer == this->progress.end()) {
        return;
    }
    const bool matchAdvanced = peer->second.onAppendReply(this->state, from, reply);
    peer->second.sendEntries(this->state);
    if (matchAdvanced) {
        this->commit();
    }
    this->changeMembers();
    this->finishTransfer();
}

void Leadership::onSnapshotReply(const MemberId &from, const SnapshotReply &reply)
{
    const auto peer = this->progress.find(from);
    if (this->state.role == ReplicaRole::Leader && reply.term == this->state.hard.term
        && peer != this->progress.end()) {
        peer->second.onSnapshotReply(this->state, reply);
    }
}

void Leadership::commit()
{
    if (this->state.role != ReplicaRole::Leader) {
        return;
    }
    const Configuration &configuration = this->state.log.configuration();
    std::vector<LogIndex> matchIndexes;
    for (const MemberId &voter : configuration.voters) {
        const auto peer = this->progress.find(voter);
        if (voter == this->state.self.member) {
            matchIndexes.push_back(this->state.outbox.syncedIndex());
        } else {
            matchIndexes.push_back(peer == this->progress.end() ? 0 : peer->second.match());
        }
    }
    std::sort(matchIndexes.begin(), matchIndexes.end(), std::greater<>());
    const LogIndex index = matchIndexes[configuration.majority() - 1];
    // An entry of an older term is committed only together with a later entry of this term.
    if (this->state.log.termAt(index) == this->state.hard.term) {
        this->state.advanceCommit(index);
    }
}

bool Leadership::hasQuorumReplySince(TimePoint time) const
{
    const Configuration &configuration = this->state.log.configuration();
    const auto repliedCount = std::count_if(
            configuration.voters.begin(), configuration.voters.end(), [&](const MemberId &voter) {
                const auto peer = this->progress.find(voter);
                return voter == this->state.self.member
                       || (peer != this->progress.end()
                           && peer->second.lastAcknowledgedSentAt() > time);
            });
    return static_cast<std::size_t>(repliedCount) >= configuration.majority();
}

bool Leadership::hasLease(TimePoint now) const
{
    // A member that has sent a transfer request is no longer leader, so it has no lease either.
    return this->state.role == ReplicaRole::Leader && this->state.commitIndex >= this->noOpIndex
           && this->hasQuorumReplySince(now - this->state.options.leaderLease);
}

std::optional<ReplicaWait> Leadership::wait() const
{
    ReplicaWait wait { ReplicaWait::Reason::Learners, 0, {}, {}, 0 };
    for (const auto &[id, peer] : this->progress) {
        if (!this->state.isVoter(id)) {
            const LogIndex match = std::min(peer.match(), this->state.commitIndex);
            wait.missing.push_back(id.number);
            wait.entriesBehind = std::max(wait.entriesBehind, this->state.commitIndex - match);
        }
    }
    return wait.missing.empty() ? std::nullopt : std::optional(wait);
}

bool Leadership::isActive(const MemberId &id) const
{
    const auto peer = this->progress.find(id);
    return id == this->state.self.member
           || (peer != this->progress.end()
               && peer->second.lastReplyAt()
                          > this->state.now - this->state.options.minElectionTimeout);
}

void Leadership::changeMembers()
{
    const bool configurationCommitted
            = this->state.commitIndex >= this->noOpIndex
              && this->state.commitIndex >= this->state.log.configurationIndex();
    if (!configurationCommitted || this->pendingTransfer) {
        return;
    }
    for (const auto &[id, peer] : this->progress) {
        const bool caughtUp = peer.keepsUp(this->state) && this->isActive(id);
        if (!this->state.isVoter(id) && caughtUp && this->replaceVoter(id)) {
            return;
        }
    }
}

bool Leadership::replaceVoter(const MemberId &learner)
{
    std::vector<MemberId> voters = this->state.log.configuration().voters;
    const auto sameSlotVoter
            = std::find_if(voters.begin(), voters.end(),
                           [&](const MemberId &voter) { return voter.number == learner.number; });
    if (sameSlotVoter == voters.end()) {
        voters.push_back(learner);
        std::sort(voters.begin(), voters.end());
    } else if (!this->isActive(*sameSlotVoter)) {
        voters.erase(sameSlotVoter);
    } else {
        return false;
    }
    // A change that the remaining active members cannot commit would stop the group.
    const auto active = std::count_if(voters.begin(), voters.end(),
                                      [&](const MemberId &voter) { return this->isActive(voter); });
    const Configuration next { voters };
    if (static_cast<std::size_t>(active) < next.majority()) {
        return false;
    }
    this->setVoters(voters);
    return true;
}

void Leadership::setVoters(std::vector<MemberId> voters)
{
    for (const MemberId &voter : this->state.log.configuration().voters) {
        if (std::find(voters.begin(), voters.end(), voter) == voters.end()) {
            this->progress.erase(voter);
        }
    }
    this->append(Configuration { std::move(voters) });
    this->sendEntries();
}

void Leadership::onMemberStarted(const MemberRun &run, LogIndex lastIndex)
{
    const MemberId &id = run.member;
    if (!this->progress.contains(id)) {
        std::erase_if(this->progress, [&](const auto &peer) {
            return peer.first.number == id.number && !this->state.isVoter(peer.first);
        });
        this->progress.emplace(id, Progress(id, 0));
    }
    Progress &peer = this->progress.at(id);
    if (peer.run() != run) {
        peer.onRestarted(run, std::min(lastIndex, this->state.log.lastIndex()));
    }
}

bool Leadership::hasAcknowledgedMore(const MemberRun &run, const StartReport &report) const
{
    const auto peer = this->progress.find(run.member);
    if (this->state.role != ReplicaRole::Leader || peer == this->progress.end()
        || peer->second.run() == run) {
        return false;
    }
    const LogIndex match = peer->second.match();
    return match > report.lastIndex || (match > 0 && report.term < this->state.hard.term);
}

void Leadership::transfer(std::optional<std::uint32_t> to)
{
    if (this->state.role != ReplicaRole::Leader || this->pendingTransfer) {
        return;
    }
    const Progress *best = nullptr;
    for (const auto &[id, peer] : this->progress) {
        const bool eligible
                = this->state.isVoter(id) && this->isActive(id) && (!to || id.number == *to);
        if (eligible && (best == nullptr || peer.match() > best->match())) {
            best = &peer;
            this->pendingTransfer
                    = Transfer { id, this->state.now + this->state.options.maxElectionTimeout };
        }
    }
    this->finishTransfer();
}

void Leadership::finishTransfer()
{
    if (!this->pendingTransfer) {
        return;
    }
    const auto peer = this->progress.find(this->pendingTransfer->to);
    if (peer == this->progress.end()) {
        this->pendingTransfer.reset();
    } else if (peer->second.match() == this->state.log.lastIndex()) {
        this->transferLeadershipTo(peer->first);
    }
}

void Leadership::transferLeadershipTo(const MemberId &id)
{
    // The election that follows ignores the lease of this term, so leadership must end before it.
    this->state.outbox.send(id, TransferRequest { this->state.hard.term });
    this->pendingTransfer.reset();
    this->state.follow(this->state.hard.term, std::nullopt);
    this->state.resetElectionTimer();
}

void Leadership::transferImmediately()
{
    const MemberId *best = nullptr;
    LogIndex bestMatch = 0;
    for (const auto &[id, peer] : this->progress) {
        if (this->state.isVoter(id) && this->isActive(id) && peer.match() >= bestMatch) {
            best = &id;
            bestMatch = peer.match();
        }
    }
    if (best != nullptr) {
        this->transferLeadershipTo(*best);
    }
}

TimePoint Leadership::nextDeadline() const
{
    return this->nextHeartbeatAt;
}

} // namespace cassiaroad
