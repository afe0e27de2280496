#pragma once

#include "process/replicastate.h"

namespace cassiaroad {

/** What a leader knows about one other member, and what it sends to it. */
class Progress
{
public:
    /** Starts to send behind @p lastIndex, the last one the member is believed to have. */
    Progress(const MemberId &id, LogIndex lastIndex);

    /** Sends a heartbeat, with entries if there are any and the window has room. */
    void heartbeat(ReplicaState &state);
    /** Sends outstanding entries as far as the window has room. */
    void sendEntries(ReplicaState &state);
    /** Takes an answer of the run @p from; returns whether the member's match index rose. */
    bool onAppendReply(ReplicaState &state, const MemberRun &from, const AppendReply &reply);
    void onSnapshotReply(ReplicaState &state, const SnapshotReply &reply);
    /** The member has started @p newRun and holds entries up to @p lastIndex. */
    void restarted(const MemberRun &newRun, LogIndex lastIndex);

    LogIndex match() const { return this->matchIndex; }
    /** The run that answered or reported last; none yet if its start counter is 0. */
    const MemberRun &run() const { return this->memberRun; }
    /** Latest send time of a request that the member answered. */
    std::optional<TimePoint> answeredSentAt() const { return this->answered; }
    /** When the member last answered. */
    std::optional<TimePoint> repliedAt() const { return this->replied; }

private:
    enum class Mode {
        Probe, // looks for the last entry that agrees; one request at a time
        Replicate, // sends ahead of the answers
        Snapshot,
    };

    void addRuns(const ReplicaState &state, AppendRequest &request);
    void recordResponse(ReplicaState &state, TimePoint sentAt);
    void reject(ReplicaState &state, const AppendReply &reply);
    void sendAppend(ReplicaState &state, bool withEntries);
    void sendPing(ReplicaState &state);
    void sendChunk(ReplicaState &state);
    bool mayTakeEntries(const ReplicaState &state) const;
    bool needsSnapshot(const ReplicaState &state) const;

    MemberId id;
    MemberRun memberRun;
    Mode mode = Mode::Probe;
    LogIndex matchIndex = 0;
    LogIndex nextIndex = 1;
    bool probeSent = false; // in mode Probe: entries were sent and not answered
    std::deque<LogIndex> inFlight; // last index of each unanswered request with entries
    std::optional<TimePoint> answered;
    std::optional<TimePoint> replied;
    std::vector<MemberRun> runsSent;
    std::optional<TimePoint> runsSentAt;
    std::optional<Snapshot> snapshot; // in transfer
    std::uint64_t offset = 0; // bytes of it that were answered
    TimePoint chunkSentAt;
};

} // namespace cassiaroad
