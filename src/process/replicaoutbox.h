#pragma once

#include "process/replica.h"
#include "process/replicalog.h"

#include <deque>

namespace cassiaroad {

/** Collects the actions of one step and keeps messages back until what they depend on is synced. */
class ReplicaOutbox
{
public:
    explicit ReplicaOutbox(const MemberRun &self)
        : self(self)
    { }

    /** Sends at once. */
    void send(const MemberId &to, MessageBody body);
    /** Sends when everything asked to be stored up to the end of this step is synced. */
    void sendWhenSynced(const MemberId &to, MessageBody body);

    void persistHardState(const HardState &state) { this->hardState = state; }
    /** Marks entries from @p index on as to be stored. */
    void persistFrom(LogIndex index);
    void compactBefore(LogIndex index) { this->compact = index; }
    /** The log was replaced by a synced snapshot at @p index. */
    void logReplaced(LogIndex index) { this->storedIndex = index; }

    /** Number of the Persist that covers everything asked for so far. */
    std::uint64_t sequence() const { return this->issued + (this->dirty() ? 1 : 0); }
    bool isSynced(std::uint64_t number) const { return number <= this->synced; }
    /** Last index of the log that is synced; meaningful while this member leads. */
    LogIndex syncedIndex() const { return this->storedIndex; }
    void logSynced(std::uint64_t number);
    /** Drops messages that wait for a sync; for a failed storage. */
    void dropWaiting() { this->waiting.clear(); }

    /** Actions of this step; the log is read for the entries to store. */
    ReplicaActions take(const ReplicaLog &log);

    ReplicaActions actions; // of this step; filled by the parts that have no method here

private:
    struct Waiting
    {
        std::uint64_t sequence = 0;
        ReplicaMessage message;
    };
    struct Issued
    {
        std::uint64_t sequence = 0;
        LogIndex lastIndex = 0;
    };

    bool dirty() const { return this->hardState || this->entriesFrom || this->compact != 0; }
    void release();

    MemberRun self;
    std::optional<HardState> hardState;
    std::optional<LogIndex> entriesFrom;
    LogIndex compact = 0;
    std::uint64_t issued = 0;
    std::uint64_t synced = 0;
    LogIndex storedIndex = 0;
    std::deque<Issued> unsynced;
    std::deque<Waiting> waiting;
};

} // namespace cassiaroad
