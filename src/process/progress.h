#pragma once

#include "process/replicastate.h"

namespace cassiaroad {

/** Replication from a leader to one other member: its state and the requests that are sent. */
class Progress
{
public:
    /** Starts to send after @p lastIndex, the last entry that the member is assumed to have. */
    Progress(const MemberId &id, LogIndex lastIndex);

    /** Sends a heartbeat, with entries if any are missing and the window has capacity. */
    void sendHeartbeat(ReplicaState &state);
    /** Sends missing entries as far as the window of unacknowledged requests has capacity. */
    void sendEntries(ReplicaState &state);
    /** Handles a reply of the run @p from; returns whether the member's match index advanced. */
    bool onAppendReply(ReplicaState &state, const MemberRun &from, const AppendReply &reply);
    void onSnapshotReply(ReplicaState &state, const SnapshotReply &reply);
    /** Restarts replication to a member that began @p newRun with entries up to @p lastIndex. */
    void onRestarted(const MemberRun &newRun, LogIndex lastIndex);
    /**
     * Whether the member acknowledges entries about as fast as they are appended. Entries that are
     * appended all the time are committed before a distant member can acknowledge them, so its
     * match index need not be as high as the commit index.
     */
    bool keepsUp(const ReplicaState &state) const;

    LogIndex match() const { return this->matchIndex; }
    /** The run that last replied or reported its start; none yet if its start counter is 0. */
    const MemberRun &run() const { return this->memberRun; }
    /** Latest send time of a request that the member has replied to. */
    std::optional<TimePoint> lastAcknowledgedSentAt() const { return this->acknowledgedSentAt; }
    /** When the last reply of the member arrived. */
    std::optional<TimePoint> lastReplyAt() const { return this->replyAt; }

private:
    enum class Mode {
        Probe, // searches for the last entry that is the same in both logs; one request at a time
        Replicate, // sends entries without waiting for replies
        Snapshot, // sends a snapshot
    };

    /** Begins the next catch-up round if the member has all entries of the present one. */
    void updateRound(const ReplicaState &state);
    void addRuns(const ReplicaState &state, AppendRequest &request);
    void recordResponse(ReplicaState &state, TimePoint sentAt);
    /** Moves the next index back after a rejected request. */
    void reject(ReplicaState &state, const AppendReply &reply);
    void sendAppend(ReplicaState &state, bool withEntries);
    /** Sends a heartbeat without entries, which does not depend on the member's log. */
    void sendPing(ReplicaState &state);
    void sendChunk(ReplicaState &state);
    bool canTakeEntries(const ReplicaState &state) const;
    bool needsSnapshot(const ReplicaState &state) const;

    MemberId id;
    MemberRun memberRun;
    Mode mode = Mode::Probe;
    LogIndex matchIndex = 0;
    LogIndex nextIndex = 1;
    bool probeSent = false; // in mode Probe: a request with entries has no reply yet
    // A catch-up round ends when the member has acknowledged the last entry at its begin.
    std::optional<LogIndex> roundTarget; // nothing: the first round has not begun
    TimePoint roundSince;
    std::optional<Milliseconds> lastRound; // duration of the last complete round
    std::deque<LogIndex> inFlight; // last index of each unacknowledged request with entries
    std::optional<TimePoint> acknowledgedSentAt;
    std::optional<TimePoint> replyAt;
    std::vector<MemberRun> runsSent;
    std::optional<TimePoint> runsSentAt;
    std::optional<Snapshot> snapshot; // in transfer
    std::uint64_t offset = 0; // bytes of the snapshot that the member has acknowledged
    TimePoint chunkSentAt;
};

} // namespace cassiaroad
