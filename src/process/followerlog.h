#pragma once

#include "process/replicastate.h"

namespace cassiaroad {

/** Receives entries and snapshots from the leader. */
class FollowerLog
{
public:
    explicit FollowerLog(ReplicaState &state)
        : state(state)
    { }

    /** Returns whether the sender is the leader of the current term, which is now followed. */
    bool onAppend(const MemberId &from, const AppendRequest &request);
    bool onChunk(const MemberId &from, const SnapshotChunk &chunk);
    void onInstalled(LogIndex index);

private:
    /** Follows the sender if it is leader of the current or a higher term; else returns false. */
    bool followSender(const MemberId &from, Term term, TimePoint sentAt);
    AppendReply accept(const AppendRequest &request);
    void store(const AppendRequest &request);
    void finishSnapshot();

    ReplicaState &state;
    SnapshotChunk received; // metadata of the snapshot in transfer, data received so far
};

} // namespace cassiaroad
