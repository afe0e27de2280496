#pragma once

#include "process/replica.h"
#include "process/replicalog.h"

#include <deque>

namespace cassiaroad {

/** Collects the actions of one step; delays messages until the data they depend on is synced. */
class ReplicaOutbox
{
public:
    explicit ReplicaOutbox(const MemberRun &self)
        : self(self)
    { }

    /** Sends with this step, without waiting for a sync. */
    void send(const MemberId &to, MessageBody body);
    /** Sends once all data that is to be persisted by the end of this step is synced. */
    void sendWhenSynced(const MemberId &to, MessageBody body);

    void persistHardState(const HardState &state) { this->hardState = state; }
    /** Persists the entries from @p index on. */
    void persistFrom(LogIndex index);
    void compactBefore(LogIndex index) { this->compactIndex = index; }
    /** The log was loaded, or replaced by a synced snapshot; it is synced up to @p index. */
    void onLogReplaced(LogIndex index) { this->lastSyncedIndex = index; }

    /** Sequence of the Persist that contains all data to be persisted so far. */
    std::uint64_t sequence() const { return this->issuedSequence + (this->isDirty() ? 1 : 0); }
    bool isSynced(std::uint64_t number) const { return number <= this->syncedSequence; }
    /** Last index of the log that is synced; meaningful only while this member is leader. */
    LogIndex syncedIndex() const { return this->lastSyncedIndex; }
    void onLogSynced(std::uint64_t number);
    /** Drops the messages that wait for a sync, when the storage failed or the folder is stale. */
    void dropWaiting() { this->waiting.clear(); }

    /** Returns and clears the actions of this step; reads the entries to persist from @p log. */
    ReplicaActions take(const ReplicaLog &log);

    ReplicaActions actions; // of this step; filled by the parts that have no method here

private:
    struct WaitingMessage
    {
        std::uint64_t sequence = 0; // of the Persist that it waits for; 0 until the step ends
        ReplicaMessage message;
    };
    struct UnsyncedPersist
    {
        std::uint64_t sequence = 0;
        LogIndex lastIndex = 0;
    };

    bool isDirty() const { return this->hardState || this->entriesFrom || this->compactIndex != 0; }
    void releaseSynced();

    MemberRun self;
    std::optional<HardState> hardState;
    std::optional<LogIndex> entriesFrom;
    LogIndex compactIndex = 0;
    std::uint64_t issuedSequence = 0; // of the last Persist that was returned
    std::uint64_t syncedSequence = 0; // of the last Persist that was synced
    LogIndex lastSyncedIndex = 0;
    std::deque<UnsyncedPersist> unsynced;
    std::deque<WaitingMessage> waiting;
};

} // namespace cassiaroad
