#include "cassiaroad/replicadriver.h"

#include "cassiaroad/membersettings.h"
#include "process/log.h"
#include "process/replicacodec.h"

#include <algorithm>
#include <random>

namespace cassiaroad {

namespace {

const Log replicaLog("replica");
const Log storageLog("storage");

constexpr Milliseconds reopenInterval { 1000 }; // between attempts to open a failed data folder
// How long a flush waits at most for a moment without other events. A busy loop has none.
constexpr Milliseconds maxFlushDelay { 10 };
// Seconds.
const std::vector<double> syncBuckets { 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5 };

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

const char *roleName(ReplicaRole role)
{
    switch (role) {
    case ReplicaRole::Starting:
        return "starting";
    case ReplicaRole::Learner:
        return "learner";
    case ReplicaRole::Follower:
        return "follower";
    case ReplicaRole::Candidate:
        return "candidate";
    case ReplicaRole::Leader:
        return "leader";
    case ReplicaRole::Failed:
        return "failed";
    case ReplicaRole::Dropped:
        return "dropped";
    }
    return "unknown";
}

} // namespace

ReplicaDriver::ReplicaDriver(EventLoop &loop, const Settings &settings, Metrics &metrics,
                             ReplicaHandlers handlers)
    : loop(loop)
    , settings(settings)
    , options(replicaOptions(settings))
    , handlers(std::move(handlers))
    , replicaLink(loop, settings.group, ownNumber(settings), peerAddresses(settings))
    , syncSeconds(metrics.histogram("cassiaroad_control_sync_seconds",
                                    "Duration of writing and syncing the log.", syncBuckets))
    , appliedCount(metrics.counter("cassiaroad_control_applied_total", "Applied log commands."))
    , snapshotCount(metrics.counter("cassiaroad_control_snapshots_total", "Saved snapshots."))
    , flushTasks(*this)
{
    this->storage.folder = std::get<ControlSettings>(settings.role).dataFolder;
}

ReplicaDriver::~ReplicaDriver() = default;

std::string ReplicaDriver::start(bool bootstrap)
{
    return this->openFolder(bootstrap);
}

std::string ReplicaDriver::openFolder(bool bootstrap)
{
    FolderOpenResult result = DataFolder::open(this->storage, ownNumber(this->settings));
    if (std::holds_alternative<FolderEmpty>(result)) {
        return this->createFolder(bootstrap);
    }
    if (bootstrap && std::holds_alternative<FolderOpened>(result)) {
        return "the data folder already holds a member; start without --bootstrap";
    }
    return this->useFolder(std::move(result), false);
}

std::string ReplicaDriver::createFolder(bool bootstrap)
{
    const MemberId id { ownNumber(this->settings), randomNumber() };
    replicaLog.info("creates data folder of member " + std::to_string(id.number)
                    + (bootstrap ? ", bootstraps a new group" : ", joins the group as learner"));
    return this->useFolder(DataFolder::create(this->storage, id), bootstrap);
}

// Starts the replica with an opened folder; returns an empty text, or why the folder cannot be
// used.
std::string ReplicaDriver::useFolder(FolderOpenResult result, bool bootstrap)
{
    if (const auto *corruption = std::get_if<Corruption>(&result)) {
        return "data folder is damaged: " + corruption->toString();
    }
    if (const auto *error = std::get_if<StorageError>(&result)) {
        return error->toString();
    }
    if (std::holds_alternative<FolderEmpty>(result)) {
        return "the data folder could not be created";
    }
    this->startReplica(std::move(std::get<FolderOpened>(result)), bootstrap);
    return {};
}

void ReplicaDriver::startReplica(FolderOpened opened, bool bootstrap)
{
    if (opened.tornTail) {
        storageLog.warning("truncated an incomplete write at the end of " + opened.tornTail->file
                           + " from byte " + std::to_string(opened.tornTail->offset));
    }
    this->folder = std::move(opened.folder);
    const std::optional<Snapshot> snapshot = opened.recovered.snapshot;
    this->appliedIndex = snapshot ? snapshot->meta.index : 0;
    this->appliedTerm = snapshot ? snapshot->meta.term : 0;
    this->snapshotBytes = snapshot ? snapshot->data->size() : 0;
    this->bytesSinceSnapshot = 0;
    this->unsynced.clear();
    this->pendingProposals.clear();
    this->handlers.restore(snapshot);
    this->membershipLog = MembershipLog();
    this->member.emplace(this->options, std::move(opened.recovered), randomNumber(),
                         this->loop.now(), bootstrap);
    this->dispatchEvent(Tick {});
}

void ReplicaDriver::propose(std::uint64_t proposal, std::string command)
{
    this->proposals.emplace_back(proposal, std::move(command));
    this->scheduleFlush();
}

void ReplicaDriver::receive(std::string_view message)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::Replication);
    std::optional<ReplicaMessage> decoded = decodeReplicaMessage(message);
    if (!decoded) {
        replicaLog.warning("ignores a message that cannot be decoded");
        return;
    }
    this->dispatchEvent(MessageReceived { std::move(*decoded) });
}

void ReplicaDriver::receiveFromFormerOwner(std::string_view message, const HostAddress &sender)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::Replication);
    std::optional<ReplicaMessage> decoded = decodeReplicaMessage(message);
    if (!decoded) {
        replicaLog.warning("ignores a message that cannot be decoded");
        return;
    }
    this->replicaLink.setFormerOwner(decoded->from.member, sender);
    this->dispatchEvent(MessageReceived { std::move(*decoded), false });
}

void ReplicaDriver::transferLeadership(std::optional<std::uint32_t> to)
{
    this->dispatchEvent(TransferLeadership { to });
}

bool ReplicaDriver::isLeading() const
{
    return this->member && this->member->role() == ReplicaRole::Leader
           && this->appliedTerm == this->member->term();
}

bool ReplicaDriver::hasLeaderLease() const
{
    return this->member && this->member->hasLeaderLease(this->loop.now());
}

std::optional<std::uint32_t> ReplicaDriver::leader() const
{
    if (!this->member || !this->member->leader()) {
        return std::nullopt;
    }
    return this->member->leader()->number;
}

// Handles an event and those that arise from it, one after the other: a nested call only queues its
// event.
void ReplicaDriver::dispatchEvent(ReplicaEvent event, std::vector<std::uint64_t> proposals)
{
    this->queue.push_back({ std::move(event), std::move(proposals) });
    if (this->isHandlingEvents) {
        return;
    }
    this->isHandlingEvents = true;
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::Replication);
    while (!this->queue.empty() && this->member) {
        const QueuedEvent next = std::move(this->queue.front());
        this->queue.pop_front();
        this->handleEvent(next);
    }
    this->queue.clear();
    this->isHandlingEvents = false;
    this->logMembership();
    this->scheduleTick();
    this->handlers.eventsHandled();
}

void ReplicaDriver::handleEvent(const QueuedEvent &queued)
{
    ReplicaActions actions = this->member->step(queued.event, this->loop.now());
    if (actions.roleChange) {
        this->logRole(*actions.roleChange);
    }
    if (actions.proposal) {
        this->recordProposals(queued.proposals, *actions.proposal);
    }
    if (actions.dropFolder) {
        this->dropFolder();
        return;
    }
    if (actions.install) {
        this->install(*actions.install);
    }
    if (actions.persist) {
        this->unsynced.push_back(std::move(*actions.persist));
        this->scheduleFlush();
    }
    for (const ReplicaMessage &message : actions.messages) {
        this->send(message);
    }
    for (const LogEntry &entry : actions.committed) {
        this->apply(entry);
    }
    this->saveSnapshotIfDue();
}

// Stores at which index of the log each accepted proposal is, and reports refused ones.
void ReplicaDriver::recordProposals(const std::vector<std::uint64_t> &proposals,
                                    const ProposalResult &result)
{
    const auto *accepted = std::get_if<ProposalAccepted>(&result);
    for (std::size_t i = 0; i < proposals.size(); ++i) {
        if (accepted != nullptr) {
            this->pendingProposals[accepted->firstIndex + i] = { accepted->term, proposals[i] };
        } else {
            this->handlers.proposalFailed(proposals[i]);
        }
    }
}

void ReplicaDriver::apply(const LogEntry &entry)
{
    std::uint64_t proposal = 0;
    std::uint64_t replaced = 0;
    const auto pending = this->pendingProposals.find(entry.index);
    if (pending != this->pendingProposals.end()) {
        const bool same = pending->second.term == entry.term;
        (same ? proposal : replaced) = pending->second.proposal;
        this->pendingProposals.erase(pending);
    }
    this->appliedIndex = entry.index;
    this->appliedTerm = entry.term;
    if (const auto *command = std::get_if<CommandBytes>(&entry.payload)) {
        this->bytesSinceSnapshot += command->bytes.size();
        this->appliedCount.Increment();
        this->handlers.apply(command->bytes, proposal);
    }
    if (replaced != 0) {
        this->handlers.proposalFailed(replaced);
    }
}

void ReplicaDriver::install(const Snapshot &snapshot)
{
    this->sync();
    if (!this->folder) {
        return;
    }
    if (const auto error = this->folder->installSnapshot(snapshot)) {
        this->onStorageFailed(*error);
        return;
    }
    replicaLog.info("installed the leader's snapshot at index "
                    + std::to_string(snapshot.meta.index));
    this->appliedIndex = snapshot.meta.index;
    this->appliedTerm = snapshot.meta.term;
    this->snapshotBytes = snapshot.data->size();
    this->bytesSinceSnapshot = 0;
    this->pendingProposals.clear();
    this->handlers.restore(snapshot);
    this->dispatchEvent(SnapshotInstalled { snapshot.meta.index });
}

void ReplicaDriver::send(const ReplicaMessage &message)
{
    this->replicaLink.send(message.to, encodeReplicaMessage(message));
}

void ReplicaDriver::scheduleFlush()
{
    if (this->flushScheduled) {
        return;
    }
    this->flushScheduled = true;
    // Runs when no other kj event is ready: all calls that arrived together share one sync, and
    // messages to other members are sent before this member blocks in its own sync.
    if (!std::exchange(this->flushesWhenIdle, true)) {
        this->flushTasks.add(kj::evalLast([this] {
            this->flushesWhenIdle = false;
            this->flush();
        }));
    }
    this->flushTimer = this->loop.callAfter(maxFlushDelay, [this] { this->flush(); });
}

// Writes and syncs the log, then proposes the commands that were collected since the last flush.
// Does nothing if no flush is scheduled any more, since the other of its two events came first.
void ReplicaDriver::flush()
{
    if (!std::exchange(this->flushScheduled, false)) {
        return;
    }
    this->flushTimer = EventLoop::Timer();
    this->sync();
    if (this->proposals.empty()) {
        return;
    }
    Propose event;
    std::vector<std::uint64_t> numbers;
    for (auto &[number, command] : std::exchange(this->proposals, {})) {
        numbers.push_back(number);
        event.commands.push_back(std::move(command));
    }
    if (!this->member) {
        for (const std::uint64_t number : numbers) {
            this->handlers.proposalFailed(number);
        }
        return;
    }
    this->dispatchEvent(std::move(event), std::move(numbers));
}

void ReplicaDriver::sync()
{
    if (this->unsynced.empty() || !this->folder) {
        return;
    }
    const std::vector<Persist> batch = std::exchange(this->unsynced, {});
    if (const auto error = this->writeLog(batch)) {
        this->onStorageFailed(*error);
        return;
    }
    this->dispatchEvent(LogSynced { batch.back().sequence });
}

std::optional<StorageError> ReplicaDriver::writeLog(const std::vector<Persist> &batch)
{
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::Sync);
    const TimePoint start = this->loop.now();
    std::optional<StorageError> error = this->folder->persist(batch);
    this->syncSeconds.Observe(static_cast<double>((this->loop.now() - start).count) / 1000.0);
    return error;
}

void ReplicaDriver::saveSnapshotIfDue()
{
    // A snapshot encodes the complete state, so the next one is due when the log since the last one
    // is larger than that.
    const std::size_t minBytes = std::get<ControlSettings>(this->settings.role).snapshotBytes;
    const std::size_t threshold = std::max(minBytes, this->snapshotBytes);
    if (this->bytesSinceSnapshot < threshold || !this->folder) {
        return;
    }
    const WorkMeter::Scope scope(this->loop.workMeter(), Work::Snapshots);
    Snapshot snapshot { this->member->snapshotMetaAt(this->appliedIndex),
                        std::make_shared<const std::string>(this->handlers.encodeState()) };
    if (const auto error = this->folder->saveSnapshot(snapshot)) {
        this->onStorageFailed(*error);
        return;
    }
    this->snapshotBytes = snapshot.data->size();
    this->bytesSinceSnapshot = 0;
    this->snapshotCount.Increment();
    this->dispatchEvent(SnapshotSaved { std::move(snapshot) });
}

void ReplicaDriver::onStorageFailed(const StorageError &error)
{
    storageLog.error(
            "cannot write to the data folder, acknowledges no changes until it is opened again: "
            + error.toString());
    this->folder.reset();
    this->unsynced.clear();
    this->dispatchEvent(PersistFailed {});
    this->reopenTimer = this->loop.callAfter(reopenInterval, [this] { this->reopen(); });
}

void ReplicaDriver::reopen()
{
    FolderOpenResult result = DataFolder::open(this->storage, ownNumber(this->settings));
    if (const auto *error = std::get_if<StorageError>(&result)) {
        storageLog.error("cannot open the data folder again: " + error->toString());
        this->reopenTimer = this->loop.callAfter(reopenInterval, [this] { this->reopen(); });
        return;
    }
    const std::string reason = std::holds_alternative<FolderEmpty>(result)
                                       ? this->createFolder(false)
                                       : this->useFolder(std::move(result), false);
    if (!reason.empty()) {
        this->handlers.failed(reason);
    }
}

void ReplicaDriver::dropFolder()
{
    replicaLog.warning("the data folder is a stale copy; discards it and joins as a new member");
    this->folder.reset();
    this->queue.clear();
    if (this->handlers.folderDropped) {
        this->member.reset();
        this->handlers.folderDropped();
        return;
    }
    const std::string reason = this->createFolder(false);
    if (!reason.empty()) {
        this->handlers.failed(reason);
    }
}

void ReplicaDriver::scheduleTick()
{
    if (!this->member || this->member->role() == ReplicaRole::Failed) {
        this->tickTimer = EventLoop::Timer();
        return;
    }
    const Milliseconds delay = this->member->nextDeadline() - this->loop.now();
    this->tickTimer = this->loop.callAfter({ std::max<std::int64_t>(delay.count, 1) },
                                           [this] { this->dispatchEvent(Tick {}); });
}

void ReplicaDriver::logRole(const RoleChange &change) const
{
    replicaLog.info(std::string("is ") + roleName(change.role) + " in term "
                    + std::to_string(change.term)
                    + (change.leader ? ", leader is member " + std::to_string(change.leader->number)
                                     : ", no leader"));
}

void ReplicaDriver::logMembership()
{
    if (!this->member) {
        return;
    }
    for (const std::string &line : this->membershipLog.update(*this->member, this->loop.now())) {
        replicaLog.info(line);
    }
}

void ReplicaDriver::taskFailed(kj::Exception &&exception)
{
    this->handlers.failed(kj::str(exception).cStr());
}

} // namespace cassiaroad
