#include "replicagroup.h"

#include <xxhash.h>

namespace cassiaroad::test {

namespace {

std::uint64_t advance(std::uint64_t stateMachine, const LogEntry &entry)
{
    const auto *command = std::get_if<CommandBytes>(&entry.payload);
    return command == nullptr ? stateMachine
                              : XXH3_64bits_withSeed(command->bytes.data(), command->bytes.size(),
                                                     stateMachine);
}

// The padding makes a snapshot need several chunks.
std::string encodeStateMachine(std::uint64_t stateMachine)
{
    return std::to_string(stateMachine) + std::string(300, ' ');
}

} // namespace

ReplicaOptions ReplicaGroup::defaults(int members)
{
    ReplicaOptions options;
    for (int number = 1; number <= members; ++number) {
        options.members.push_back(static_cast<std::uint32_t>(number));
    }
    options.maxBatchBytes = 400;
    options.snapshotChunkBytes = 100;
    options.entriesRetainedBeforeSnapshot = 3;
    return options;
}

ReplicaGroup::ReplicaGroup(const NetworkConditions &conditions, const ReplicaOptions &options)
    : options(options)
    , conditions(conditions)
    , random(conditions.seed)
    , hosts(static_cast<std::size_t>(conditions.members))
    , copies(static_cast<std::size_t>(conditions.members))
{
    for (int slot = 0; slot < this->slotCount(); ++slot) {
        this->start(slot);
    }
    const bool complete = this->runUntil([&] { return this->isRepaired(); }, 60000);
    require(complete, "the members join after the bootstrap");
}

bool ReplicaGroup::chance(int percent)
{
    return this->between(1, 100) <= percent;
}

int ReplicaGroup::between(int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(this->random);
}

int ReplicaGroup::delayBetween(int from, int to)
{
    const std::set<int> &distant = this->conditions.distantSlots;
    const bool crossesRegions = distant.contains(from) != distant.contains(to);
    return this->between(this->conditions.minDelay, this->conditions.maxDelay)
           + (crossesRegions ? this->conditions.distantDelay : 0);
}

TimePoint ReplicaGroup::localTime(int slot) const
{
    const std::vector<int> &speeds = this->conditions.clockPermille;
    const int permille = speeds.empty() ? 1000 : speeds[slot];
    return { this->now * permille / 1000 + slot * 1000000 };
}

void ReplicaGroup::start(int slot)
{
    Host &host = this->hosts[slot];
    if (host.replica) {
        return;
    }
    const bool bootstrap = slot == 0 && this->nextIncarnation == 100;
    if (!host.folder) {
        host.folder = FakeFolder {};
        host.folder->id = { static_cast<std::uint32_t>(slot + 1), this->nextIncarnation++ };
    }
    ++host.folder->startCounter;
    host.folder->dropStaleLog();
    const FakeFolder &folder = *host.folder;
    host.paused = false;
    host.applied = folder.snapshot ? folder.snapshot->meta.index : 0;
    host.stateMachine = folder.snapshot ? std::stoull(*folder.snapshot->data) : 0;
    host.replica = std::make_unique<Replica>(this->options,
                                             RecoveredState { folder.id, folder.startCounter,
                                                              folder.hardState, folder.snapshot,
                                                              folder.entries },
                                             this->random(), this->localTime(slot), bootstrap);
}

void ReplicaGroup::crash(int slot)
{
    Host &host = this->hosts[slot];
    if (!host.replica) {
        return;
    }
    // Some of the writes that were not synced may have reached the disk.
    const int writtenCount = this->between(0, static_cast<int>(host.unsynced.size()));
    for (int i = 0; i < writtenCount && !host.diskFull; ++i) {
        this->write(host, host.unsynced[i]);
    }
    host.unsynced.clear();
    host.replica.reset();
}

void ReplicaGroup::isolate(int slot)
{
    for (int other = 0; other < this->slotCount(); ++other) {
        if (other != slot) {
            this->cut(slot, other);
        }
    }
}

bool ReplicaGroup::isRepaired() const
{
    const Configuration latest = this->history.latestConfiguration();
    if (latest.voters.size() != this->hosts.size()) {
        return false;
    }
    return std::all_of(this->hosts.begin(), this->hosts.end(), [&](const Host &host) {
        return host.folder && !host.staleCopy && latest.contains(host.folder->id);
    });
}

bool ReplicaGroup::loseFolders(const std::set<int> &slots)
{
    if (!this->isRepaired()) {
        return false;
    }
    for (const int slot : slots) {
        this->crash(slot);
        this->hosts[slot].folder.reset();
    }
    return true;
}

bool ReplicaGroup::isRepaired(int slot) const
{
    const Host &host = this->hosts[slot];
    return host.folder && !host.staleCopy
           && this->history.latestConfiguration().contains(host.folder->id);
}

bool ReplicaGroup::loseFolderOfMinority(int slot)
{
    int lostCount = 1;
    for (int other = 0; other < this->slotCount(); ++other) {
        lostCount += other != slot && !this->isRepaired(other) ? 1 : 0;
    }
    if (2 * lostCount >= this->slotCount()) {
        return false;
    }
    this->crash(slot);
    this->hosts[slot].folder.reset();
    return true;
}

bool ReplicaGroup::restoreCopy(int slot)
{
    if (!this->copies[slot] || !this->isRepaired()) {
        return false;
    }
    const FakeFolder &current = *this->hosts[slot].folder;
    const bool sameIncarnation = this->copies[slot]->id == current.id;
    if (sameIncarnation) {
        // Copies from the current run are detected only while the leader of that run is still
        // leader; see the design page.
        if (this->copies[slot]->startCounter == current.startCounter) {
            return false;
        }
        for (int peer = 0; peer < this->slotCount(); ++peer) {
            const std::vector<MemberRun> &runs = this->hosts[peer].folder->hardState.runs;
            const bool knows = std::any_of(runs.begin(), runs.end(), [&](const MemberRun &run) {
                return run.member == current.id && run.startCounter == current.startCounter;
            });
            if (peer != slot && !knows) {
                return false;
            }
        }
    }
    this->forceCopy(slot);
    // An older incarnation whose copy does not know that it was a voter may rejoin as a learner.
    this->hosts[slot].staleCopy = sameIncarnation || this->copies[slot]->isVoter();
    return true;
}

void ReplicaGroup::forceCopy(int slot)
{
    this->crash(slot);
    this->hosts[slot].folder = this->copies[slot];
}

std::optional<ProposalResult> ReplicaGroup::propose(int slot,
                                                    const std::vector<std::string> &commands)
{
    Host &host = this->hosts[slot];
    if (!host.replica || host.paused) {
        return std::nullopt;
    }
    const Configuration before = host.replica->configuration();
    ReplicaActions actions = host.replica->step(Propose { commands }, this->localTime(slot));
    const std::optional<ProposalResult> result = actions.proposal;
    this->perform(slot, actions, before);
    return result;
}

void ReplicaGroup::saveSnapshot(int slot)
{
    Host &host = this->hosts[slot];
    if (!host.replica || host.paused || host.applied <= host.replica->snapshotIndex()) {
        return;
    }
    const Snapshot snapshot { host.replica->snapshotMetaAt(host.applied),
                              std::make_shared<const std::string>(
                                      encodeStateMachine(host.stateMachine)) };
    if (host.diskFull) {
        this->step(slot, PersistFailed {});
        return;
    }
    host.folder->snapshot = snapshot;
    this->step(slot, SnapshotSaved { snapshot });
}

void ReplicaGroup::transfer(int slot)
{
    if (this->hosts[slot].replica && !this->hosts[slot].paused) {
        this->step(slot, TransferLeadership {});
    }
}

int ReplicaGroup::leader() const
{
    int found = -1;
    for (int slot = 0; slot < this->slotCount(); ++slot) {
        const Replica *replica = this->hosts[slot].replica.get();
        if (replica != nullptr && replica->role() == ReplicaRole::Leader
            && (found < 0 || replica->term() > this->hosts[found].replica->term())) {
            found = slot;
        }
    }
    return found;
}

void ReplicaGroup::run(int milliseconds)
{
    for (int i = 0; i < milliseconds; ++i) {
        ++this->now;
        this->deliver();
        for (int slot = 0; slot < this->slotCount(); ++slot) {
            Host &host = this->hosts[slot];
            if (host.replica && !host.paused && !host.unsynced.empty()
                && this->now >= host.syncAt) {
                this->sync(slot);
            }
            if (host.replica && !host.paused
                && this->localTime(slot) >= host.replica->nextDeadline()) {
                this->step(slot, Tick {});
            }
        }
        this->checkLeases();
    }
}

bool ReplicaGroup::runUntil(const std::function<bool()> &condition, int milliseconds)
{
    for (int i = 0; i < milliseconds && !condition(); ++i) {
        this->run(1);
    }
    return condition();
}

void ReplicaGroup::deliver()
{
    std::vector<MessageInTransit> due;
    for (std::size_t i = 0; i < this->messagesInTransit.size();) {
        if (this->messagesInTransit[i].at <= this->now
            && !this->hosts[this->messagesInTransit[i].to].paused) {
            due.push_back(std::move(this->messagesInTransit[i]));
            std::swap(this->messagesInTransit[i], this->messagesInTransit.back());
            this->messagesInTransit.pop_back();
        } else {
            ++i;
        }
    }
    for (MessageInTransit &arrival : due) {
        if (this->hosts[arrival.to].replica) {
            this->step(arrival.to, MessageReceived { std::move(arrival.message) });
        }
    }
}

void ReplicaGroup::send(const ReplicaMessage &message)
{
    const int from = static_cast<int>(message.from.member.number) - 1;
    const int to = static_cast<int>(message.to.number) - 1;
    ++this->sentCount;
    const int copies = this->chance(this->conditions.duplicatePercent) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (!this->cutLinks.contains({ std::min(from, to), std::max(from, to) })
            && !this->chance(this->conditions.lossPercent)) {
            this->messagesInTransit.push_back(
                    { this->now + this->delayBetween(from, to), to, message });
        }
    }
}

void ReplicaGroup::step(int slot, const ReplicaEvent &event)
{
    Host &host = this->hosts[slot];
    const Configuration before = host.replica->configuration();
    ReplicaActions actions = host.replica->step(event, this->localTime(slot));
    this->perform(slot, actions, before);
}

void ReplicaGroup::perform(int slot, ReplicaActions &actions, const Configuration &before)
{
    if (actions.dropFolder) {
        this->restartDropped(slot);
        return;
    }
    Host &host = this->hosts[slot];
    if (host.replica->role() == ReplicaRole::Leader) {
        this->history.leads(*host.replica, *host.folder);
    }
    for (const ReplicaMessage &message : actions.messages) {
        this->send(message);
    }
    for (const LogEntry &entry : actions.committed) {
        this->apply(slot, entry, before);
    }
    const bool installed = actions.install && this->install(slot, *actions.install);
    if (host.replica && actions.persist) {
        this->persist(slot, *actions.persist);
    }
    if (installed) {
        this->step(slot, SnapshotInstalled { actions.install->meta.index });
    }
}

void ReplicaGroup::restartDropped(int slot)
{
    this->hosts[slot].replica.reset();
    this->hosts[slot].unsynced.clear();
    this->hosts[slot].folder.reset();
    this->hosts[slot].staleCopy = false;
    this->start(slot);
}

bool ReplicaGroup::install(int slot, const Snapshot &snapshot)
{
    this->sync(slot);
    Host &host = this->hosts[slot];
    if (!host.replica) {
        return false;
    }
    if (host.diskFull) {
        this->step(slot, PersistFailed {});
        return false;
    }
    host.folder->install(snapshot);
    host.applied = snapshot.meta.index;
    host.stateMachine = std::stoull(*snapshot.data);
    this->history.applied(host.applied, host.stateMachine);
    return true;
}

void ReplicaGroup::persist(int slot, const Persist &persist)
{
    Host &host = this->hosts[slot];
    if (host.unsynced.empty()) {
        host.syncAt = this->now + this->between(0, std::max(0, this->conditions.maxSyncDelay));
    }
    host.unsynced.push_back(persist);
}

void ReplicaGroup::write(Host &host, const Persist &persist)
{
    host.folder->apply(persist);
    for (const LogEntry &entry : persist.entries) {
        this->history.stored(host.folder->id, entry);
    }
}

void ReplicaGroup::sync(int slot)
{
    Host &host = this->hosts[slot];
    if (host.unsynced.empty()) {
        return;
    }
    if (host.diskFull) {
        host.unsynced.clear();
        this->step(slot, PersistFailed {});
        return;
    }
    ++host.syncs;
    for (const Persist &persist : host.unsynced) {
        this->write(host, persist);
    }
    const std::uint64_t sequence = host.unsynced.back().sequence;
    host.unsynced.clear();
    this->step(slot, LogSynced { sequence });
}

void ReplicaGroup::apply(int slot, const LogEntry &entry, const Configuration &before)
{
    Host &host = this->hosts[slot];
    require(entry.index == host.applied + 1, "committed entries come in order");
    this->history.committed(*host.replica, entry, before, this->folders());
    host.applied = entry.index;
    host.stateMachine = advance(host.stateMachine, entry);
    this->history.applied(entry.index, host.stateMachine);
}

GroupFolders ReplicaGroup::folders() const
{
    GroupFolders folders;
    for (const Host &host : this->hosts) {
        folders.push_back(host.folder ? &*host.folder : nullptr);
    }
    return folders;
}

void ReplicaGroup::checkLeases() const
{
    int leaseholders = 0;
    for (int slot = 0; slot < this->slotCount(); ++slot) {
        const Replica *replica = this->hosts[slot].replica.get();
        leaseholders
                += replica != nullptr && replica->hasLeaderLease(this->localTime(slot)) ? 1 : 0;
    }
    require(leaseholders <= 1, "at most one member has a valid leader lease");
}

} // namespace cassiaroad::test
