#include "process/replica.h"

#include "process/election.h"
#include "process/followerlog.h"
#include "process/startcheck.h"

namespace cassiaroad {

namespace {

constexpr Term firstTerm = 1;

// A stopped member ignores Ticks, so its next deadline is an hour ahead.
constexpr Milliseconds stoppedTickDelay { 3600 * 1000 };

} // namespace

/** Dispatches events to the parts of a Replica. */
class ReplicaCore
{
public:
    ReplicaCore(const ReplicaOptions &options, RecoveredState recovered, std::uint64_t seed,
                TimePoint now)
        : state(options, std::move(recovered), seed, now)
        , leadership(this->state)
        , election(this->state)
        , followerLog(this->state)
        , startCheck(this->state, this->leadership)
    { }

    ReplicaActions step(const ReplicaEvent &event, TimePoint now);

    void operator()(const Tick &) { }
    void operator()(const MessageReceived &event);
    void operator()(const Propose &event);
    void operator()(const LogSynced &event);
    void operator()(const PersistFailed &event);
    void operator()(const SnapshotSaved &event);
    void operator()(const SnapshotInstalled &event);
    void operator()(const TransferLeadership &event);

    TimePoint nextDeadline() const;
    std::optional<ReplicaWait> wait() const;
    bool isStopped() const
    {
        return this->state.role == ReplicaRole::Failed || this->state.role == ReplicaRole::Dropped;
    }

    ReplicaState state;
    Leadership leadership;

private:
    void deliver(const ReplicaMessage &message);
    /** Completes an election, runs the timers and returns newly committed entries as an action. */
    void runPendingWork();

    Election election;
    FollowerLog followerLog;
    StartCheck startCheck;
};

ReplicaActions ReplicaCore::step(const ReplicaEvent &event, TimePoint now)
{
    this->state.now = std::max(this->state.now, now);
    const auto before = std::tuple(this->state.role, this->state.hard.term, this->state.leader);
    std::visit(*this, event);
    if (!this->isStopped()) {
        this->runPendingWork();
    }
    if (before != std::tuple(this->state.role, this->state.hard.term, this->state.leader)) {
        this->state.outbox.actions.roleChange
                = RoleChange { this->state.role, this->state.hard.term, this->state.leader };
    }
    ReplicaActions actions = this->state.outbox.take(this->state.log);
    if (this->isStopped()) {
        actions.persist.reset();
    }
    return actions;
}

void ReplicaCore::runPendingWork()
{
    if (this->election.hasWon()) {
        this->election.cancel();
        this->leadership.begin();
    }
    this->leadership.tick();
    this->election.tick();
    this->startCheck.tick();
    if (this->state.lastApplied < this->state.commitIndex) {
        this->state.outbox.actions.committed
                = this->state.log.range(this->state.lastApplied + 1, this->state.commitIndex);
        this->state.lastApplied = this->state.commitIndex;
    }
}

void ReplicaCore::operator()(const MessageReceived &event)
{
    const ReplicaMessage &message = event.message;
    const MemberId &self = this->state.self.member;
    const bool forAnyIncarnation = message.to.incarnation == 0 && message.to.number == self.number;
    if (this->isStopped() || (!forAnyIncarnation && message.to != self)) {
        return;
    }
    // Only a leader with a lease knows for certain who has the slots.
    const bool isReplaced = !event.fromSlotOwner && !this->state.isVoter(message.from.member)
                            && this->leadership.hasLease(this->state.now);
    if (!isReplaced) {
        this->deliver(message);
    } else if (std::holds_alternative<StartReport>(message.body)) {
        this->startCheck.refuseFormerOwner(message.from);
    }
}

void ReplicaCore::deliver(const ReplicaMessage &message)
{
    const MemberId &from = message.from.member;
    if (const auto *report = std::get_if<StartReport>(&message.body)) {
        this->startCheck.onReport(message.from, *report);
        return;
    }
    if (const auto *reply = std::get_if<StartReply>(&message.body)) {
        if (this->startCheck.onReply(message.from, *reply)) {
            this->state.role = ReplicaRole::Dropped;
            this->state.leader.reset();
            this->state.outbox.dropWaiting();
            this->state.outbox.actions.dropFolder = true;
        }
        return;
    }
    if (this->state.role == ReplicaRole::Starting || !this->startCheck.accepts(message.from)) {
        return;
    }
    if (const auto *append = std::get_if<AppendRequest>(&message.body)) {
        if (this->followerLog.onAppend(from, *append)) {
            this->election.cancel();
        }
    } else if (const auto *chunk = std::get_if<SnapshotChunk>(&message.body)) {
        if (this->followerLog.onChunk(from, *chunk)) {
            this->election.cancel();
        }
    } else if (const auto *appendReply = std::get_if<AppendReply>(&message.body)) {
        this->leadership.onAppendReply(message.from, *appendReply);
    } else if (const auto *snapshotReply = std::get_if<SnapshotReply>(&message.body)) {
        this->leadership.onSnapshotReply(from, *snapshotReply);
    } else if (const auto *request = std::get_if<VoteRequest>(&message.body)) {
        this->election.onVoteRequest(from, *request);
    } else if (const auto *vote = std::get_if<VoteReply>(&message.body)) {
        this->election.onVoteReply(from, *vote);
    } else if (const auto *transfer = std::get_if<TransferRequest>(&message.body)) {
        this->election.onTransferRequest(*transfer);
    }
}

void ReplicaCore::operator()(const Propose &event)
{
    this->state.outbox.actions.proposal
            = this->isStopped() ? ProposalResult { ProposalRefusal::StorageFailed }
                                : this->leadership.propose(event.commands);
}

void ReplicaCore::operator()(const LogSynced &event)
{
    if (this->isStopped()) {
        return;
    }
    this->state.outbox.onLogSynced(event.sequence);
    this->election.onSynced();
    this->leadership.onSynced();
}

void ReplicaCore::operator()(const PersistFailed &)
{
    if (this->isStopped()) {
        return;
    }
    if (this->state.role == ReplicaRole::Leader) {
        this->leadership.transferImmediately();
    }
    this->state.outbox.dropWaiting();
    this->state.role = ReplicaRole::Failed;
    this->state.leader.reset();
}

void ReplicaCore::operator()(const SnapshotSaved &event)
{
    const LogIndex index = event.snapshot.meta.index;
    const LogIndex previous = this->state.snapshot ? this->state.snapshot->meta.index : 0;
    if (this->isStopped() || index <= previous) {
        return;
    }
    this->state.snapshot = event.snapshot;
    const LogIndex retainedEntries = this->state.options.entriesRetainedBeforeSnapshot;
    if (index > this->state.log.baseIndex() + retainedEntries) {
        this->state.log.compactTo(index - retainedEntries);
        this->state.outbox.compactBefore(index - retainedEntries);
    }
}

void ReplicaCore::operator()(const SnapshotInstalled &event)
{
    if (!this->isStopped()) {
        this->followerLog.onInstalled(event.index);
    }
}

void ReplicaCore::operator()(const TransferLeadership &event)
{
    if (!this->isStopped()) {
        this->leadership.transfer(event.to);
    }
}

TimePoint ReplicaCore::nextDeadline() const
{
    switch (this->state.role) {
    case ReplicaRole::Failed:
    case ReplicaRole::Dropped:
        return this->state.now + stoppedTickDelay;
    case ReplicaRole::Leader:
        return std::min(this->leadership.nextDeadline(), this->startCheck.nextDeadline());
    case ReplicaRole::Follower:
    case ReplicaRole::Candidate:
        return std::min(this->state.electionDeadline, this->startCheck.nextDeadline());
    default:
        return this->startCheck.nextDeadline();
    }
}

std::optional<ReplicaWait> ReplicaCore::wait() const
{
    switch (this->state.role) {
    case ReplicaRole::Starting:
        return this->startCheck.wait();
    case ReplicaRole::Learner:
        return ReplicaWait { ReplicaWait::Reason::Promotion, 0, {}, {}, 0 };
    case ReplicaRole::Candidate:
        return this->election.wait();
    case ReplicaRole::Leader:
        return this->leadership.wait();
    default:
        return std::nullopt;
    }
}

namespace {

/** Adds the first entry of a group with this member as its only voter, if the folder has no log. */
void bootstrapGroup(RecoveredState &recovered)
{
    if (recovered.snapshot || !recovered.entries.empty()) {
        return;
    }
    recovered.entries.push_back({ 1, firstTerm, Configuration { { recovered.member } } });
    recovered.hardState.term = std::max(recovered.hardState.term, firstTerm);
}

} // namespace

Replica::Replica(const ReplicaOptions &options, RecoveredState recovered, std::uint64_t seed,
                 TimePoint now, bool bootstrap)
{
    const bool empty = !recovered.snapshot && recovered.entries.empty();
    if (bootstrap) {
        bootstrapGroup(recovered);
    }
    this->core = std::make_unique<ReplicaCore>(options, std::move(recovered), seed, now);
    if (bootstrap && empty) {
        this->core->state.outbox.persistFrom(1);
        this->core->state.persistHardState();
    }
}

Replica::~Replica() = default;
Replica::Replica(Replica &&) noexcept = default;
Replica &Replica::operator=(Replica &&) noexcept = default;

ReplicaActions Replica::step(const ReplicaEvent &event, TimePoint now)
{
    return this->core->step(event, now);
}

TimePoint Replica::nextDeadline() const
{
    return this->core->nextDeadline();
}

bool Replica::hasLeaderLease(TimePoint now) const
{
    return this->core->leadership.hasLease(now);
}

ReplicaRole Replica::role() const
{
    return this->core->state.role;
}

Term Replica::term() const
{
    return this->core->state.hard.term;
}

std::optional<MemberId> Replica::leader() const
{
    return this->core->state.leader;
}

const MemberId &Replica::id() const
{
    return this->core->state.self.member;
}

LogIndex Replica::commitIndex() const
{
    return this->core->state.commitIndex;
}

LogIndex Replica::lastIndex() const
{
    return this->core->state.log.lastIndex();
}

LogIndex Replica::snapshotIndex() const
{
    const std::optional<Snapshot> &snapshot = this->core->state.snapshot;
    return snapshot ? snapshot->meta.index : 0;
}

const Configuration &Replica::configuration() const
{
    return this->core->state.log.configuration();
}

SnapshotMeta Replica::snapshotMetaAt(LogIndex index) const
{
    const ReplicaLog &log = this->core->state.log;
    return { index, log.termAt(index).value_or(0), log.configurationAt(index) };
}

std::optional<ReplicaWait> Replica::wait() const
{
    return this->core->wait();
}

const std::vector<MemberRun> &Replica::knownRuns() const
{
    return this->core->state.hard.runs;
}

} // namespace cassiaroad
